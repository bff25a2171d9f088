package dev.wisteriarail.gateway;

import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.core.result.ResultCode;
import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Promise;

/**
 * Reads a request body once the account of held bytes has space for it: the whole body if its
 * length is known, else each part as it arrives.
 *
 * <p>Life cycle: one instance per body of unknown length. Jetty invokes it serially.
 */
final class RequestBodyReader {

  private final Request request;
  private final long limit;
  private final HeldBytes.Holding holding;
  private final Consumer<byte[]> body;
  private final Consumer<ResultCode> refusal;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private RequestBodyReader(
      Request request,
      long limit,
      HeldBytes.Holding holding,
      Consumer<byte[]> body,
      Consumer<ResultCode> refusal) {
    this.request = request;
    this.limit = limit;
    this.holding = holding;
    this.body = body;
    this.refusal = refusal;
  }

  /**
   * Reads a body.
   *
   * @param limit maximum length in bytes
   * @param holding holds the body's bytes
   * @param body receives the complete body
   * @param refusal receives the reason if the body is not read to its end
   */
  static void read(
      Request request,
      long limit,
      HeldBytes.Holding holding,
      Consumer<byte[]> body,
      Consumer<ResultCode> refusal) {
    if (request.getLength() < 0) {
      new RequestBodyReader(request, limit, holding, body, refusal).readParts();
    } else if (holding.tryReserve(request.getLength())) {
      readWhole(request, limit, body, refusal);
    } else {
      refusal.accept(ResultCode.MEMORY_FULL);
    }
  }

  private static void readWhole(
      Request request, long limit, Consumer<byte[]> body, Consumer<ResultCode> refusal) {
    Content.Source.asByteArrayAsync(
        request,
        (int) Math.min(limit, Integer.MAX_VALUE),
        new Promise.Invocable.NonBlocking<>() {
          @Override
          public void succeeded(byte[] whole) {
            body.accept(whole);
          }

          @Override
          public void failed(Throwable failure) {
            boolean tooLong = failure instanceof IllegalStateException;
            refusal.accept(tooLong ? ResultCode.REQUEST_TOO_LARGE : ResultCode.BAD_REQUEST);
          }
        });
  }

  private void readParts() {
    while (true) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readParts);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        refusal.accept(ResultCode.BAD_REQUEST);
        return;
      }
      byte[] part = BufferUtil.toArray(chunk.getByteBuffer());
      final boolean last = chunk.isLast();
      chunk.release();
      if (bytes.size() + part.length > limit) {
        refusal.accept(ResultCode.REQUEST_TOO_LARGE);
        return;
      }
      if (!holding.tryReserve(part.length)) {
        refusal.accept(ResultCode.MEMORY_FULL);
        return;
      }
      bytes.writeBytes(part);
      if (last) {
        body.accept(bytes.toByteArray());
        return;
      }
    }
  }
}
