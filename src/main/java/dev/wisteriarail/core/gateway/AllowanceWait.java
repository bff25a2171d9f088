package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Wait of one request for the decision of its tenant's owner on its cost, and for the time from
 * which that decision admits it.
 *
 * <p>Without an answer the question is repeated seldom, as a busy owner would otherwise be asked
 * the more the later it answers. It is repeated soon after an answer that decided nothing, and at
 * once to a new owner. Not thread-safe.
 */
final class AllowanceWait {

  /** Time after which a question is first repeated if there is no answer. */
  private static final Duration FIRST_REPEAT = Duration.ofMillis(500);

  /** Time after which a node that did not decide is asked again. */
  private static final Duration UNDECIDED_REPEAT = Duration.ofMillis(100);

  private final Instant since;
  private final Duration patience;
  private Duration repeatInterval = FIRST_REPEAT;
  private Instant nextQuestion;
  private Optional<NodeId> asked = Optional.empty();
  private Optional<Instant> admittedFrom = Optional.empty();

  private AllowanceWait(Instant since, Duration patience) {
    this.since = since;
    this.patience = patience;
    nextQuestion = since;
  }

  /** Begins a wait that ends when the patience is used up. */
  static AllowanceWait begin(Duration patience, Instant now) {
    return new AllowanceWait(now, patience);
  }

  /**
   * Returns whether the owner of an undecided request has to be asked, for the first time or again.
   */
  boolean isQuestionDue(Optional<NodeId> owner, Instant now) {
    return !now.isBefore(nextQuestion) || !asked.equals(owner);
  }

  /** Records a question. */
  void recordQuestion(Optional<NodeId> owner, Instant now) {
    asked = owner;
    nextQuestion = now.plus(repeatInterval);
    repeatInterval = repeatInterval.multipliedBy(2);
  }

  /** Records that the node that was asked did not decide. */
  void recordUndecided(Instant now) {
    Instant next = now.plus(UNDECIDED_REPEAT);
    nextQuestion = next.isBefore(nextQuestion) ? next : nextQuestion;
  }

  /** Records that the request is admitted from a time on. */
  void grant(Instant from) {
    admittedFrom = Optional.of(from);
  }

  boolean isGranted() {
    return admittedFrom.isPresent();
  }

  boolean isAdmitted(Instant now) {
    return admittedFrom.filter(from -> !now.isBefore(from)).isPresent();
  }

  /** Returns whether the time has passed in which an undecided request waits for a decision. */
  boolean isOver(Instant now) {
    return !now.isBefore(since.plus(patience));
  }

  /** Returns whether an owner was known that could be asked. */
  boolean wasAsked() {
    return asked.isPresent();
  }

  /** Returns for how much longer the request may wait. */
  Duration patienceLeft(Instant now) {
    return patience.minus(Duration.between(since, now));
  }

  Duration waited(Instant now) {
    return Duration.between(since, now);
  }
}
