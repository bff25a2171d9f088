package dev.wisteriarail.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.result.ResultCode;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/**
 * Reports errors that Jetty detects before a handler sees the request in the same format as all
 * other errors.
 */
final class ProblemErrorHandler extends ErrorHandler {

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    ResultCode code = codeOf(response.getStatus());
    Refusal refusal = Refusal.notRun(code, HttpStatus.getMessage(response.getStatus()));
    ProblemBody body = ProblemBody.of(refusal, "");
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/problem+json");
    try {
      response.write(true, ByteBuffer.wrap(Codecs.json().writeValueAsBytes(body)), callback);
    } catch (JsonProcessingException failure) {
      callback.failed(failure);
    }
    return true;
  }

  private static ResultCode codeOf(int status) {
    return switch (status) {
      case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
          ResultCode.HEADERS_TOO_LARGE;
      case HttpStatus.REQUEST_TIMEOUT_408 -> ResultCode.REQUEST_TIMED_OUT_READING;
      default -> HttpStatus.isServerError(status) ? ResultCode.INTERNAL : ResultCode.BAD_REQUEST;
    };
  }
}
