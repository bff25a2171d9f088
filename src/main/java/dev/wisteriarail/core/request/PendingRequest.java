package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.routing.Route;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A request between its arrival and its ending. Mutable; owned by the request table. */
final class PendingRequest {

  /** Time without a piece after which an answer that has started counts as cut. */
  static final Duration STALL_LIMIT = Duration.ofSeconds(30);

  /** Where a request stands. */
  enum Phase {
    /** Its key is not settled: the intent is being recorded, or another request holds the key. */
    HELD,
    /** Waits for a runner. */
    QUEUED,
    /** Waits for the time of its next attempt. */
    DELAYED,
    /** Was handed to a runner. */
    DISPATCHED
  }

  /** A runner that failed the request: avoided for a time, and as long as it is the same run. */
  private record Avoidance(Instant until, Incarnation incarnation) {}

  private final long sequence;
  private final InboundRequest request;
  private final TargetKey target;
  private final Urgency urgency;
  private final Instant arrival;
  private final Instant deadline;
  private final boolean atMostOnce;
  private final StringBuilder answer = new StringBuilder();
  private final Map<RunnerId, Avoidance> avoided = new TreeMap<>();
  private Phase phase = Phase.QUEUED;
  private Optional<String> contentHash = Optional.empty();
  private Optional<String> fingerprint = Optional.empty();
  private Optional<AttemptId> attempt = Optional.empty();
  private Optional<Route> route = Optional.empty();
  private Instant startedAt = Instant.EPOCH;
  private Instant timeoutAt;
  private boolean mayHaveReachedBackend;
  private boolean callerDisconnected;
  private double chargedVirtualTime;
  private int failureCount;
  private int resumeCount;
  private long deliveredChunks;

  PendingRequest(
      long sequence,
      InboundRequest request,
      Urgency urgency,
      Instant arrival,
      Instant deadline,
      boolean atMostOnce) {
    this.sequence = sequence;
    this.request = request;
    this.urgency = urgency;
    this.arrival = arrival;
    this.deadline = deadline;
    this.atMostOnce = atMostOnce;
    target = TargetKey.of(request.target());
    timeoutAt = deadline;
  }

  // Updates

  void hold() {
    phase = Phase.HELD;
  }

  void queue() {
    phase = Phase.QUEUED;
    timeoutAt = deadline;
  }

  /** Waits until a time for its next attempt, or until its deadline if that is earlier. */
  void delayUntil(Instant time) {
    phase = Phase.DELAYED;
    timeoutAt = time.isBefore(deadline) ? time : deadline;
  }

  void start(AttemptId newAttempt, Route newRoute, Instant now) {
    phase = Phase.DISPATCHED;
    attempt = Optional.of(newAttempt);
    route = Optional.of(newRoute);
    startedAt = now;
    timeoutAt = deliveredChunks == 0 && now.isBefore(deadline) ? deadline : now.plus(STALL_LIMIT);
  }

  /** Notes that the attempt ended without an answer. */
  void recordFailure(AttemptOutcome outcome, Instant avoidUntil, Incarnation incarnation) {
    failureCount++;
    if (!(outcome instanceof AttemptOutcome.NotHandedOver)) {
      mayHaveReachedBackend = true;
    }
    avoided.put(runner().orElseThrow(), new Avoidance(avoidUntil, incarnation));
    attempt = Optional.empty();
  }

  /** Notes the virtual time that its customer was charged for the present attempt. */
  void recordCharge(double virtualTime) {
    chargedVirtualTime = virtualTime;
  }

  void countResume() {
    resumeCount++;
  }

  /** Sets when the attempt is given up unless it gets on. */
  void restartStallTimeout(Instant now) {
    timeoutAt = now.plus(STALL_LIMIT);
  }

  /**
   * Counts a piece that was passed on, and keeps it where the answer may have to be given again.
   */
  void addChunk(String text) {
    deliveredChunks++;
    if (atMostOnce) {
      answer.append(text);
    }
  }

  void markCallerDisconnected() {
    callerDisconnected = true;
  }

  // Accessors

  long sequence() {
    return sequence;
  }

  TargetKey target() {
    return target;
  }

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

  /** Returns the hash by which a content that crashes backend servers is known again. */
  String fingerprint() {
    if (fingerprint.isEmpty()) {
      fingerprint = Optional.of(Fingerprints.ofCustomerAndContent(request));
    }
    return fingerprint.get();
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
  boolean atMostOnce() {
    return atMostOnce;
  }

  Phase phase() {
    return phase;
  }

  Optional<AttemptId> attempt() {
    return attempt;
  }

  /** Returns the runner of the last attempt. */
  Optional<RunnerId> runner() {
    return route.map(Route::runner);
  }

  Optional<Route> route() {
    return route;
  }

  Instant startedAt() {
    return startedAt;
  }

  /** Returns when something has to be done about the request if nothing happens before. */
  Instant timeoutAt() {
    return timeoutAt;
  }

  /** Returns whether a byte of it may have reached a backend server. */
  boolean mayHaveReachedBackend() {
    return mayHaveReachedBackend || phase == Phase.DISPATCHED;
  }

  /** Returns whether it failed on a runner that may still be in the same failure. */
  boolean avoids(RunnerId runner, Incarnation currentIncarnation, Instant now) {
    Avoidance avoidance = avoided.get(runner);
    return avoidance != null
        && currentIncarnation.compareTo(avoidance.incarnation()) <= 0
        && now.isBefore(avoidance.until());
  }

  double chargedVirtualTime() {
    return chargedVirtualTime;
  }

  /** Returns the number of failed attempts. */
  int failureCount() {
    return failureCount;
  }

  int resumeCount() {
    return resumeCount;
  }

  long deliveredChunks() {
    return deliveredChunks;
  }

  String answer() {
    return answer.toString();
  }

  boolean callerDisconnected() {
    return callerDisconnected;
  }
}
