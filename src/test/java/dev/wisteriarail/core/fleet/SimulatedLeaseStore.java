package dev.wisteriarail.core.fleet;

import dev.wisteriarail.fuzz.gateway.LeaseLog;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A lease store in virtual time. Answers are delayed or lost, and a call whose answer is lost may
 * take effect late.
 */
final class SimulatedLeaseStore {

  private final LeaseLog log = LeaseLog.create();
  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparing(Due::at));
  private final SplittableRandom random;
  private final double lossShare;
  private boolean down;

  SimulatedLeaseStore(long seed, double lossShare) {
    random = new SplittableRandom(seed);
    this.lossShare = lossShare;
  }

  /** Makes a call; the answer is passed to the callback later in virtual time. */
  void call(LeaseCall call, Instant now, Consumer<LeaseAnswer> callback) {
    Instant answerAt = now.plusMillis(2 + random.nextInt(60));
    if (down) {
      due.add(new Due(answerAt, () -> callback.accept(new LeaseAnswer.Failed("down"))));
    } else if (call instanceof LeaseCall.Append append && random.nextDouble() < lossShare) {
      Instant effect = now.plusMillis(random.nextInt(5_000));
      due.add(new Due(effect, () -> log.call(append, effect)));
      due.add(
          new Due(now.plusMillis(900), () -> callback.accept(new LeaseAnswer.Failed("no answer"))));
    } else {
      due.add(new Due(answerAt, () -> callback.accept(log.call(call, now))));
    }
  }

  /** Restores an earlier state of the store, in a new era. */
  void restore(Instant copied) {
    log.restore(log.era() + 1, copied);
  }

  /** Runs the actions that are due. */
  void advance(Instant now) {
    Optional<Due> next = Optional.ofNullable(due.peek());
    while (next.isPresent() && !next.get().at().isAfter(now)) {
      due.remove().action().run();
      next = Optional.ofNullable(due.peek());
    }
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  static Duration step() {
    return Duration.ofMillis(10);
  }

  private record Due(Instant at, Runnable action) {}
}
