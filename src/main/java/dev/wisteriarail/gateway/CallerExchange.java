package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.EventAssembler;
import dev.wisteriarail.core.forward.ForwardRequest;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A caller's request and the way back to it.
 *
 * <p>Exactly one attempt at a time may write; what an earlier one still has is dropped. The answer
 * is ended once. Thread-safe.
 */
public final class CallerExchange {

  private final ForwardRequest forward;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final EventAssembler events = EventAssembler.create();
  private int currentAttempt;
  private boolean headSent;
  private boolean ended;
  private boolean closeAfterAnswer;

  CallerExchange(
      ForwardRequest forward, Request request, Response response, Callback callback, byte[] body) {
    this.forward = forward;
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
  }

  // Answer

  /** Lets only the attempt with this number write from now on. */
  synchronized void setCurrentAttempt(int number) {
    currentAttempt = number;
    events.discardPartial();
  }

  /** Makes the connection close after the answer. */
  synchronized void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  /**
   * Passes on the whole events of a part of a streamed answer; the head goes out with the first.
   *
   * @param done told when the caller took them; not told if there were none
   */
  synchronized RelayResult relay(
      int attempt, int status, HttpFields headers, byte[] bytes, Callback done) {
    if (attempt != currentAttempt || ended) {
      return RelayResult.REFUSED;
    }
    byte[] completeEvents = events.accept(bytes);
    if (events.hasGap()) {
      return RelayResult.GAP;
    }
    if (events.isTooLong()) {
      return RelayResult.TOO_LONG;
    }
    if (completeEvents.length == 0) {
      return RelayResult.NO_EVENT;
    }
    if (!headSent) {
      headSent = true;
      putStreamHead(status, headers);
    }
    response.write(false, ByteBuffer.wrap(completeEvents), done);
    return RelayResult.WRITTEN;
  }

  /** What became of a part of a streamed answer. */
  enum RelayResult {
    /** Its whole events are on the way. */
    WRITTEN,
    /** It held no whole event that the caller lacks. */
    NO_EVENT,
    /** An event before it is missing. */
    GAP,
    /** It goes on with an event that is longer than any sound one. */
    TOO_LONG,
    /** The attempt may not write any more. */
    REFUSED
  }

  /** Ends a streamed answer; sends the head first if nothing was passed on. */
  synchronized boolean finish(int attempt, int status, HttpFields headers) {
    if (attempt != currentAttempt || ended) {
      return false;
    }
    ended = true;
    if (!headSent) {
      headSent = true;
      putStreamHead(status, headers);
    }
    response.write(true, ByteBuffer.allocate(0), callback);
    return true;
  }

  /** Sends a whole answer. */
  synchronized boolean sendAnswer(int status, HttpFields headers, byte[] bytes) {
    if (headSent || ended) {
      return false;
    }
    ended = true;
    headSent = true;
    putHead(status, headers);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
    return true;
  }

  /**
   * Ends the answer with a failure of the node's own; one that has begun is cut instead, so that it
   * ends in any case.
   */
  synchronized void fail(int status, HttpFields headers) {
    if (!sendAnswer(status, headers, new byte[0])) {
      abort();
    }
  }

  /** Ends the answer so that it does not look complete. */
  synchronized void abort() {
    if (ended) {
      return;
    }
    ended = true;
    callback.failed(new IOException("the answer is cut"));
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    if (!supportsChunking() && endPoint instanceof PeekingEndPoint peeking) {
      peeking.resetOnClose();
    }
    endPoint.close();
  }

  /**
   * Sends the head of a streamed answer. It is chunked also where the connection closes after it:
   * otherwise the close would be its end, and a cut answer would look complete.
   */
  private void putStreamHead(int status, HttpFields headers) {
    putHead(status, headers);
    if (supportsChunking()) {
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
    }
  }

  private boolean supportsChunking() {
    return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
  }

  private void putHead(int status, HttpFields headers) {
    response.setStatus(status);
    headers.forEach(response.getHeaders()::add);
    if (closeAfterAnswer) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  // Accessors

  /** Returns what the decisions need of the request. */
  public ForwardRequest forward() {
    return forward;
  }

  /** Returns the caller's request as Jetty read it. */
  public Request request() {
    return request;
  }

  /** Returns the request's body. */
  public byte[] body() {
    return body;
  }

  /** Returns the identifier of the last whole event that was passed on; empty if there is none. */
  public synchronized String lastEvent() {
    return events.lastEvent();
  }

  /** Returns whether the answer stopped inside an event. */
  synchronized boolean hasPartialEvent() {
    return events.hasPartial();
  }

  synchronized boolean isHeadSent() {
    return headSent;
  }

  synchronized boolean isEnded() {
    return ended;
  }

  /** Returns whether the caller closed its connection. */
  boolean isCallerDisconnected() {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof PeekingEndPoint peeking && peeking.isClosedByPeer();
  }
}
