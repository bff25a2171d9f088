package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;
import java.util.Optional;

/** A request between its arrival and its ending. Mutable; owned by the request table. */
final class PendingRequest {

  /** Where a request stands. */
  enum Phase {
    /** Its key is not settled: the intent is being recorded, or another request holds the key. */
    HELD,
    /** Waits for a runner. */
    QUEUED,
    /** Was handed to a runner. */
    DISPATCHED
  }

  private final InboundRequest request;
  private final Urgency urgency;
  private final Instant arrival;
  private final Instant deadline;
  private final boolean onlyOnce;
  private final StringBuilder answer = new StringBuilder();
  private Phase phase = Phase.QUEUED;
  private Optional<String> contentHash = Optional.empty();
  private Optional<AttemptId> attempt = Optional.empty();
  private Optional<RunnerId> runner = Optional.empty();
  private boolean callerLeft;
  private long delivered;

  PendingRequest(
      InboundRequest request,
      Urgency urgency,
      Instant arrival,
      Instant deadline,
      boolean onlyOnce) {
    this.request = request;
    this.urgency = urgency;
    this.arrival = arrival;
    this.deadline = deadline;
    this.onlyOnce = onlyOnce;
  }

  // Updates

  void hold() {
    phase = Phase.HELD;
  }

  void queue() {
    phase = Phase.QUEUED;
    attempt = Optional.empty();
    runner = Optional.empty();
  }

  void start(AttemptId newAttempt, RunnerId newRunner) {
    phase = Phase.DISPATCHED;
    attempt = Optional.of(newAttempt);
    runner = Optional.of(newRunner);
  }

  /**
   * Counts a piece that was passed on, and keeps it where the answer may have to be given again.
   */
  void addPiece(String text) {
    delivered++;
    if (onlyOnce) {
      answer.append(text);
    }
  }

  void leaveCaller() {
    callerLeft = true;
  }

  // Accessors

  InboundRequest request() {
    return request;
  }

  IntentKey intentKey() {
    return new IntentKey(request.customer(), request.key().orElseThrow());
  }

  String contentHash() {
    if (contentHash.isEmpty()) {
      contentHash = Optional.of(Fingerprints.ofContent(request));
    }
    return contentHash.get();
  }

  Urgency urgency() {
    return urgency;
  }

  Instant arrival() {
    return arrival;
  }

  Instant deadline() {
    return deadline;
  }

  /** Returns whether it needs an intent in the log before it is handed over. */
  boolean onlyOnce() {
    return onlyOnce;
  }

  Phase phase() {
    return phase;
  }

  Optional<AttemptId> attempt() {
    return attempt;
  }

  Optional<RunnerId> runner() {
    return runner;
  }

  long delivered() {
    return delivered;
  }

  String answer() {
    return answer.toString();
  }

  boolean callerLeft() {
    return callerLeft;
  }
}
