package dev.wisteriarail.gateway;

import dev.wisteriarail.core.forward.EventAssembler;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.gateway.HeldBytes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A caller's request and the response that is written to it.
 *
 * <p>Several attempts may be live at a time. When one of them writes stream events, all others are
 * dropped and their output is refused, so that the events of a stream have one order and none is
 * missing or repeated. The response is ended exactly once. Events that the caller has not read are
 * buffered as far as the account of held bytes allows. Thread-safe.
 */
public final class CallerExchange {

  private final ForwardRequest forward;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final HeldBytes heldBytes;
  private final StreamWriter stream;
  private final Map<Integer, EventAssembler> liveAttempts = new HashMap<>();
  private String lastEvent = "";
  private int newestDropped;

  /** The attempt whose events have to be written before more of it is received; 0 if none. */
  private int writer;

  private boolean headSent;

  /** Whether all events of the response are known; some of them may not be written yet. */
  private boolean finished;

  private boolean ended;
  private boolean closeAfterAnswer;

  CallerExchange(
      ForwardRequest forward,
      Request request,
      Response response,
      Callback callback,
      byte[] body,
      HeldBytes heldBytes) {
    this.forward = forward;
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.heldBytes = heldBytes;
    stream = new StreamWriter(response, heldBytes.open(HeldBytes.Kind.STREAM_EVENTS), this::abort);
  }

  // Response

  /** Lets an attempt write that was sent with the current {@link #lastEvent()}. */
  synchronized void addAttempt(int number) {
    liveAttempts.put(number, EventAssembler.after(lastEvent));
  }

  /** Refuses further output of an attempt. */
  synchronized void dropAttempt(int number) {
    liveAttempts.remove(number);
  }

  /** Closes the connection after the response. */
  synchronized void closeAfterAnswer() {
    closeAfterAnswer = true;
  }

  /**
   * Relays the complete events contained in a part of a streamed response, and drops the other
   * attempts. The response head is sent with the first event.
   *
   * @param done completed when more of the stream may be received: when the events are written, or
   *     at once if they are buffered; not called unless the result is {@code WRITTEN}
   */
  synchronized RelayResult relay(
      int attempt, int status, HttpFields headers, byte[] bytes, Callback done) {
    EventAssembler events = liveAttempts.get(attempt);
    if (events == null || finished || ended) {
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
    if (isOtherWriting(attempt)) {
      return RelayResult.REFUSED;
    }
    dropOthers(attempt);
    lastEvent = events.lastEvent();
    if (!headSent) {
      headSent = true;
      putStreamHead(status, headers);
    }
    writer = attempt;
    stream.write(completeEvents, Callback.from(this::endWrite, done));
    return RelayResult.WRITTEN;
  }

  private void dropOthers(int attempt) {
    for (int number : liveAttempts.keySet()) {
      newestDropped = number == attempt ? newestDropped : Math.max(newestDropped, number);
    }
    liveAttempts.keySet().retainAll(Set.of(attempt));
  }

  private synchronized void endWrite() {
    writer = 0;
  }

  /**
   * Returns whether another attempt waits for a slow caller to read its events. Where streams are
   * buffered, later events queue behind them.
   */
  private boolean isOtherWriting(int attempt) {
    return !heldBytes.isLimited() && writer != 0 && writer != attempt;
  }

  /**
   * Returns the number of the newest attempt that was dropped, at most once; 0 if there is none.
   *
   * @param attempt the attempt that wrote events
   */
  synchronized int takeNewestDropped(int attempt) {
    if (!liveAttempts.containsKey(attempt)) {
      return 0;
    }
    int number = newestDropped;
    newestDropped = 0;
    return number;
  }

  /** Result of relaying a part of a streamed response. */
  enum RelayResult {
    /** Its complete events are being written. */
    WRITTEN,
    /** It contained no complete event that the caller does not have yet. */
    NO_EVENT,
    /** An earlier event is missing. */
    GAP,
    /** It contains an event that exceeds the maximum length. */
    TOO_LONG,
    /** The attempt may no longer write. */
    REFUSED
  }

  /**
   * Ends a streamed response once all its events are written; sends the head first if no event was
   * relayed.
   *
   * @return whether it ends; false if the attempt may no longer write
   */
  synchronized boolean finish(int attempt, int status, HttpFields headers) {
    if (!liveAttempts.containsKey(attempt) || finished || ended || isOtherWriting(attempt)) {
      return false;
    }
    finished = true;
    if (!headSent) {
      headSent = true;
      putStreamHead(status, headers);
    }
    stream.finish(callback);
    return true;
  }

  /**
   * Sends a complete response.
   *
   * @return whether it was sent; false if a head was sent or the response was ended before
   */
  synchronized boolean sendAnswer(int status, HttpFields headers, byte[] bytes) {
    if (headSent || ended) {
      return false;
    }
    ended = true;
    headSent = true;
    putHead(status, headers);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    HeldBytes.Holding holding = heldBytes.open(HeldBytes.Kind.BUFFERED_RESPONSE);
    holding.hold(bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), Callback.from(callback, holding::close));
    return true;
  }

  /**
   * Ends the exchange with a failure that this node reports. A response that has started is aborted
   * instead, so that the exchange ends in either case.
   */
  synchronized void fail(int status, HttpFields headers) {
    if (!sendAnswer(status, headers, new byte[0])) {
      abort();
    }
  }

  /** Ends the response in a way that the caller cannot mistake for completion. */
  synchronized void abort() {
    if (!ended && stream.abandon()) {
      endAbruptly();
    }
  }

  /** Ends the response after a fault, which may have left it unwritten though marked as ended. */
  synchronized void abortAfterFault() {
    stream.abandon();
    endAbruptly();
  }

  private void endAbruptly() {
    ended = true;
    EndPoint endPoint = endPoint();
    // Before the failed callback, which may close the connection.
    if (!supportsChunking() && endPoint instanceof PeekingEndPoint peeking) {
      peeking.resetOnClose();
    }
    callback.failed(new IOException("the response was aborted"));
    endPoint.close();
  }

  /**
   * Sets the head of a streamed response. It is chunked even if the connection closes afterwards:
   * without chunks the close would mark the end, and an aborted response would appear complete.
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
      if (endPoint() instanceof PeekingEndPoint peeking) {
        peeking.discardOnClose();
      }
    }
  }

  // Accessors

  /** Returns the request's properties that the core decides on. */
  public ForwardRequest forward() {
    return forward;
  }

  /** Returns the caller's request as parsed by Jetty. */
  public Request request() {
    return request;
  }

  /** Returns the request's body. */
  public byte[] body() {
    return body;
  }

  /** Returns the identifier of the last event that was relayed; empty if there is none. */
  public synchronized String lastEvent() {
    return lastEvent;
  }

  /** Returns whether the part of the stream that an attempt has received ends inside an event. */
  synchronized boolean hasPartialEvent(int attempt) {
    EventAssembler events = liveAttempts.get(attempt);
    return events != null && events.hasPartial();
  }

  synchronized boolean isHeadSent() {
    return headSent;
  }

  synchronized boolean isEnded() {
    return ended || stream.hasEnded();
  }

  /** Returns whether the caller closed its connection. */
  boolean isCallerDisconnected() {
    return endPoint() instanceof PeekingEndPoint peeking && peeking.isClosedByPeer();
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }
}
