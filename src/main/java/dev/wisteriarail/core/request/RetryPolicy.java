package dev.wisteriarail.core.request;

import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Decides how to continue a request whose attempt failed.
 *
 * <p>After an attempt that may have reached a backend server, a request is retried only if it is
 * repeatable and the caller has not received a chunk of its answer; after the first chunk, the
 * answer can only be resumed on the same engine. These retries and resumes use a budget that grows
 * with the customer's first attempts, so that failures cannot multiply the load. An attempt of
 * which no byte was sent is retried without budget until the request's deadline, unless a chunk was
 * delivered before.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class RetryPolicy {

  private static final int MAX_RETRIES = 3;
  private static final int MAX_RESUMES = 2;
  private static final double BUDGET_PER_REQUEST = 0.1;
  private static final double MAX_BUDGET = 10;
  private static final Duration FIRST_DELAY = Duration.ofMillis(25);
  private static final int MAX_DOUBLINGS = 5;
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** What to do after a failed attempt. */
  sealed interface Decision {

    /**
     * Retry the request after a delay.
     *
     * @param delay the delay
     */
    record Retry(Duration delay) implements Decision {}

    /** Resume the answer on the same engine. */
    record Resume() implements Decision {}

    /**
     * Refuse the request.
     *
     * @param refusal why the request is refused
     */
    record GiveUp(Refusal refusal) implements Decision {}
  }

  private final SplittableRandom random;
  private final Map<CustomerId, Double> budgets = new TreeMap<>();

  private RetryPolicy(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns a policy with full budgets. Its jitter depends on the node's seed and name. */
  static RetryPolicy create(NodeSettings settings) {
    return new RetryPolicy(seedOf(settings));
  }

  /** Returns a random seed that differs between nodes. */
  static long seedOf(NodeSettings settings) {
    return settings.seed() * 31 + settings.node().value().hashCode();
  }

  /** Records the first attempt of a request, which adds to the customer's retry budget. */
  void recordFirstAttempt(CustomerId customer) {
    double budget = budgets.getOrDefault(customer, MAX_BUDGET);
    budgets.put(customer, Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST));
  }

  /** Returns how to continue after a failed attempt. */
  Decision decide(PendingRequest pending, AttemptOutcome outcome) {
    if (pending.deliveredChunks() > 0 && !pending.atMostOnce()) {
      boolean backendLost = outcome instanceof AttemptOutcome.Broken broken && broken.backendLost();
      return afterFirstChunk(pending, backendLost);
    }
    return switch (outcome) {
      case AttemptOutcome.Completed completed ->
          throw new IllegalArgumentException("the attempt did not fail");
      case AttemptOutcome.NotHandedOver unsent -> new Decision.Retry(delay(pending.failureCount()));
      case AttemptOutcome.Rejected rejected -> afterRejection(pending, rejected);
      case AttemptOutcome.Broken broken -> afterBrokenAnswer(pending, broken);
    };
  }

  private Decision afterRejection(PendingRequest pending, AttemptOutcome.Rejected rejected) {
    if (pending.atMostOnce()) {
      return refuseOutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, rejected.reason());
    }
    return mayRetry(pending)
        ? new Decision.Retry(delay(pending.failureCount()))
        : refuseRetryable(ResultCode.BACKEND_REFUSED, rejected.reason());
  }

  private Decision afterBrokenAnswer(PendingRequest pending, AttemptOutcome.Broken broken) {
    if (pending.atMostOnce()) {
      return refuseOutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, broken.reason());
    }
    return mayRetry(pending)
        ? new Decision.Retry(delay(pending.failureCount()))
        : refuseRetryable(ResultCode.BACKEND_FAILED, broken.reason());
  }

  /** Resumes only on the same engine, because another engine would generate a different answer. */
  private Decision afterFirstChunk(PendingRequest pending, boolean backendLost) {
    boolean resumable =
        !backendLost
            && pending.resumeCount() < MAX_RESUMES
            && pending.request().target() instanceof Target.ModelTarget;
    return resumable && tryAcquireBudget(pending.request().customer())
        ? new Decision.Resume()
        : refuseOutcomeUnknown(
            ResultCode.ANSWER_INCOMPLETE, "the answer broke off and cannot be resumed");
  }

  private boolean mayRetry(PendingRequest pending) {
    return pending.failureCount() <= MAX_RETRIES && tryAcquireBudget(pending.request().customer());
  }

  private boolean tryAcquireBudget(CustomerId customer) {
    double budget = budgets.getOrDefault(customer, MAX_BUDGET);
    if (budget < 1) {
      return false;
    }
    budgets.put(customer, budget - 1);
    return true;
  }

  private Duration delay(int failures) {
    long doublings = Math.clamp(failures - 1, 0, MAX_DOUBLINGS);
    double jitter = 0.5 + random.nextDouble();
    return Duration.ofNanos((long) (FIRST_DELAY.toNanos() * (1L << doublings) * jitter));
  }

  private static Decision refuseOutcomeUnknown(ResultCode code, String reason) {
    return new Decision.GiveUp(Refusal.outcomeUnknown(code, reason));
  }

  private static Decision refuseRetryable(ResultCode code, String reason) {
    return new Decision.GiveUp(Refusal.mayHaveRun(code, reason, RETRY_AFTER));
  }
}
