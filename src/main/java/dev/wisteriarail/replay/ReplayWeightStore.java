package dev.wisteriarail.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A fake of the weight store: starts a limited number of loads a second; while more than its limit
 * run at once, each takes proportionally longer. Not thread-safe.
 */
final class ReplayWeightStore {

  private static final double MICROS_A_SECOND = 1e6;

  /** A load that is running. */
  static final class Transfer {

    private final Runnable done;
    private double leftMicros;
    private boolean cancelled;

    private Transfer(double leftMicros, Runnable done) {
      this.leftMicros = leftMicros;
      this.done = done;
    }

    /** Makes the load end without effect. */
    void cancel() {
      cancelled = true;
    }
  }

  private final VirtualTime time;
  private final double loadsPerSecond;
  private final int fullSpeedLoads;
  private final List<Transfer> running = new ArrayList<>();
  private double slowness = 1;
  private long lastMicros;
  private long nextStartMicros = Long.MIN_VALUE;
  private long version;

  ReplayWeightStore(VirtualTime time, double loadsPerSecond, int fullSpeedLoads) {
    this.time = time;
    this.loadsPerSecond = loadsPerSecond;
    this.fullSpeedLoads = fullSpeedLoads;
  }

  // Updates

  /** Starts a load as soon as the rate allows; runs the task when it is complete. */
  Transfer fetch(Duration atFullSpeed, Runnable done) {
    Transfer transfer = new Transfer(atFullSpeed.toNanos() / 1_000.0, done);
    long start = Math.max(time.micros(), nextStartMicros);
    nextStartMicros = start + (long) (MICROS_A_SECOND / loadsPerSecond);
    time.at(start, () -> begin(transfer));
    return transfer;
  }

  /** Makes loads take longer by a factor. */
  void setSlowness(double factor) {
    progress();
    slowness = factor;
    scheduleNext();
  }

  private void begin(Transfer transfer) {
    progress();
    running.add(transfer);
    scheduleNext();
  }

  private void progress() {
    double passed = (time.micros() - lastMicros) * speed();
    running.forEach(transfer -> transfer.leftMicros -= passed);
    lastMicros = time.micros();
  }

  private void scheduleNext() {
    version++;
    long expected = version;
    running.stream()
        .mapToDouble(transfer -> transfer.leftMicros)
        .min()
        .ifPresent(
            least -> {
              long wait = (long) Math.ceil(Math.max(0, least) / speed()) + 1;
              time.at(time.micros() + wait, () -> finish(expected));
            });
  }

  private void finish(long expected) {
    if (expected != version) {
      return;
    }
    progress();
    List<Transfer> complete =
        running.stream()
            .filter(transfer -> transfer.leftMicros <= 0 || transfer.cancelled)
            .toList();
    running.removeAll(complete);
    scheduleNext();
    complete.stream().filter(transfer -> !transfer.cancelled).forEach(one -> one.done.run());
  }

  private double speed() {
    double shared = running.isEmpty() ? 1 : Math.min(1, (double) fullSpeedLoads / running.size());
    return shared / slowness;
  }
}
