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

/** A request from its arrival until its end. Mutable; owned by the request table. */
final class PendingRequest {

  /**
   * Time without a new chunk after which an answer that has started counts as broken, unless the
   * request's deadline is later.
   */
  static final Duration STALL_LIMIT = Duration.ofSeconds(30);

  /** The phases of a request. */
  enum Phase {
    /** Held by the intent gate: its intent is being recorded, or another request holds the key. */
    HELD,
    /** Waiting for a runner. */
    QUEUED,
    /** Waiting for the time of its next attempt. */
    DELAYED,
    /** Dispatched to a runner. */
    DISPATCHED
  }

  /**
   * A runner on which the request failed is avoided until a time, but only as long as the runner
   * has the same incarnation.
   */
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

  /** Delays the next attempt until a time, or until the deadline if that is earlier. */
  void delayUntil(Instant time) {
    phase = Phase.DELAYED;
    timeoutAt = time.isBefore(deadline) ? time : deadline;
  }

  void start(AttemptId newAttempt, Route newRoute, Instant now) {
    phase = Phase.DISPATCHED;
    attempt = Optional.of(newAttempt);
    route = Optional.of(newRoute);
    startedAt = now;
    timeoutAt = deliveredChunks == 0 && now.isBefore(deadline) ? deadline : stallTimeout(now);
  }

  private Instant stallTimeout(Instant now) {
    Instant silentTooLong = now.plus(STALL_LIMIT);
    return silentTooLong.isBefore(deadline) ? deadline : silentTooLong;
  }

  /** Records that the attempt ended without a complete answer. */
  void recordFailure(AttemptOutcome outcome, Instant avoidUntil, Incarnation incarnation) {
    failureCount++;
    if (!(outcome instanceof AttemptOutcome.NotHandedOver)) {
      mayHaveReachedBackend = true;
    }
    avoided.put(runner().orElseThrow(), new Avoidance(avoidUntil, incarnation));
    attempt = Optional.empty();
  }

  /** Records the virtual time that the customer was charged for the current attempt. */
  void recordCharge(double virtualTime) {
    chargedVirtualTime = virtualTime;
  }

  void countResume() {
    resumeCount++;
  }

  /** Restarts the stall timeout of the current attempt. */
  void restartStallTimeout(Instant now) {
    timeoutAt = stallTimeout(now);
  }

  /**
   * Counts a delivered chunk, and stores it if the request is non-repeatable, because a retry with
   * the same key may have to return the answer.
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

  /** Returns the hash that identifies content that crashes backend servers. */
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

  /** Returns whether an intent must be in the log before the request is dispatched. */
  boolean atMostOnce() {
    return atMostOnce;
  }

  Phase phase() {
    return phase;
  }

  Optional<AttemptId> attempt() {
    return attempt;
  }

  /** Returns the runner of the most recent attempt. */
  Optional<RunnerId> runner() {
    return route.map(Route::runner);
  }

  Optional<Route> route() {
    return route;
  }

  Instant startedAt() {
    return startedAt;
  }

  /** Returns when the current phase times out if no event ends it before. */
  Instant timeoutAt() {
    return timeoutAt;
  }

  /** Returns whether any byte of the request may have reached a backend server. */
  boolean mayHaveReachedBackend() {
    return mayHaveReachedBackend || phase == Phase.DISPATCHED;
  }

  /** Returns whether the request failed on a runner that may still have the same fault. */
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
