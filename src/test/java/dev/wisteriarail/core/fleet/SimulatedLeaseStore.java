package dev.wisteriarail.core.fleet;

import dev.wisteriarail.fuzz.gateway.LeaseLog;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A store for leases in virtual time: answers are delayed, lost, or follow late effects. */
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

  /** Makes a call; the answer is told later in virtual time. */
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

  /** Comes back from a copy of some time ago, in a new era. */
  void restore(Instant copied) {
    log.restore(log.era() + 1, copied);
  }

  /** Delivers what is due. */
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
