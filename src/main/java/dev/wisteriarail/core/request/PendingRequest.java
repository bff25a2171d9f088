package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;
import java.util.Optional;

/** A request between its arrival and its ending. Mutable; owned by the request table. */
final class PendingRequest {

  private final InboundRequest request;
  private final Urgency urgency;
  private final Instant deadline;
  private Optional<AttemptId> attempt = Optional.empty();
  private Optional<RunnerId> runner = Optional.empty();
  private long delivered;

  PendingRequest(InboundRequest request, Urgency urgency, Instant deadline) {
    this.request = request;
    this.urgency = urgency;
    this.deadline = deadline;
  }

  // Updates

  void start(AttemptId newAttempt, RunnerId newRunner) {
    attempt = Optional.of(newAttempt);
    runner = Optional.of(newRunner);
  }

  void requeue() {
    attempt = Optional.empty();
    runner = Optional.empty();
  }

  void countPiece() {
    delivered++;
  }

  // Accessors

  InboundRequest request() {
    return request;
  }

  Urgency urgency() {
    return urgency;
  }

  Instant deadline() {
    return deadline;
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

  boolean isWaiting() {
    return attempt.isEmpty();
  }
}
