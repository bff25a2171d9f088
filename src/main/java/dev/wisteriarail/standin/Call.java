package dev.wisteriarail.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Fields;

/** One HTTP exchange with a stand-in. Not thread-safe; its handler runs on a virtual thread. */
public final class Call {

  private final Request request;
  private final Response response;
  private boolean answered;

  Call(Request request, Response response) {
    this.request = request;
    this.response = response;
  }

  // Request

  /** Returns the HTTP method. */
  public String method() {
    return request.getMethod();
  }

  /** Returns the path, without the query. */
  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns the non-empty segments of the path. */
  public List<String> pathSegments() {
    return Arrays.stream(path().split("/")).filter(part -> !part.isEmpty()).toList();
  }

  /** Returns an integer query parameter, or the default if it is absent. */
  public long query(String name, long defaultValue) {
    Fields fields = Request.extractQueryParameters(request);
    String value = fields.getValue(name);
    return value == null ? defaultValue : Long.parseLong(value);
  }

  /** Returns a query parameter, or the default if it is absent. */
  public String query(String name, String defaultValue) {
    String value = Request.extractQueryParameters(request).getValue(name);
    return value == null ? defaultValue : value;
  }

  /** Returns the value of a request header. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(request.getHeaders().get(name));
  }

  /** Reads the body as UTF-8 text. */
  public String body() throws IOException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      return new String(in.readAllBytes(), UTF_8);
    }
  }

  /** Reads the body as JSON. */
  public <T> T body(Class<T> type) throws IOException {
    return Codecs.json().readValue(body(), type);
  }

  /** Reads the body as bytes. */
  public byte[] bodyBytes() throws IOException {
    try (InputStream in = Content.Source.asInputStream(request)) {
      return in.readAllBytes();
    }
  }

  // Response

  /** Sends the complete response with a text body. */
  public void reply(int status, String text) throws IOException {
    response.setStatus(status);
    write(text, true);
    answered = true;
  }

  /** Sends the complete response with a binary body. */
  public void reply(int status, byte[] bytes) throws IOException {
    response.setStatus(status);
    write(bytes, true);
    answered = true;
  }

  /** Sets a response header. */
  public void setHeader(String name, String value) {
    response.getHeaders().put(name, value);
  }

  /** Writes a part of a streamed response body. */
  public void writePart(String text, boolean last) throws IOException {
    write(text.getBytes(UTF_8), last);
    answered = last;
  }

  /** Sends the complete response with a status and a JSON body. */
  public void replyJson(int status, Object value) throws IOException {
    response.getHeaders().put("Content-Type", "application/json");
    reply(status, Codecs.json().writeValueAsString(value));
  }

  /** Sends the complete response with status 200 and a JSON body. */
  public void replyJson(Object value) throws IOException {
    response.getHeaders().put("Content-Type", "application/json");
    reply(200, Codecs.json().writeValueAsString(value));
  }

  /** Writes one line of JSON of a streamed response body. */
  public void writeLine(Object value, boolean last) throws IOException {
    write(Codecs.json().writeValueAsString(value) + "\n", last);
    answered = last;
  }

  boolean isAnswered() {
    return answered;
  }

  private void write(String text, boolean last) throws IOException {
    write(text.getBytes(UTF_8), last);
  }

  private void write(byte[] bytes, boolean last) throws IOException {
    try (Blocker.Callback blocker = Blocker.callback()) {
      response.write(last, ByteBuffer.wrap(bytes), blocker);
      blocker.block();
    }
  }
}
