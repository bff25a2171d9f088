package dev.wisteriarail.replay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A fake of the weight store. It starts a limited number of loads per second; while more loads run
 * than the full-speed limit, each takes proportionally longer. Not thread-safe.
 */
final class ReplayWeightStore {

  private static final double MICROS_PER_SECOND = 1e6;

  /** A load that is scheduled or running. Mutable. */
  static final class Transfer {

    private final Runnable onComplete;
    private double remainingMicros;
    private boolean cancelled;

    private Transfer(double remainingMicros, Runnable onComplete) {
      this.remainingMicros = remainingMicros;
      this.onComplete = onComplete;
    }

    /** Cancels the load: its completion task does not run. */
    void cancel() {
      cancelled = true;
    }
  }

  private final VirtualTime time;
  private final double loadsPerSecond;
  private final int fullSpeedLoads;
  private final List<Transfer> running = new ArrayList<>();
  private double slowdown = 1;
  private long lastUpdateMicros;
  private long nextStartMicros = Long.MIN_VALUE;
  private long scheduleVersion;

  ReplayWeightStore(VirtualTime time, double loadsPerSecond, int fullSpeedLoads) {
    this.time = time;
    this.loadsPerSecond = loadsPerSecond;
    this.fullSpeedLoads = fullSpeedLoads;
  }

  // Updates

  /** Starts a load as soon as the rate limit allows; runs {@code onComplete} when it completes. */
  Transfer fetch(Duration atFullSpeed, Runnable onComplete) {
    Transfer transfer = new Transfer(atFullSpeed.toNanos() / 1_000.0, onComplete);
    long start = Math.max(time.micros(), nextStartMicros);
    nextStartMicros = start + (long) (MICROS_PER_SECOND / loadsPerSecond);
    time.scheduleAt(start, () -> startTransfer(transfer));
    return transfer;
  }

  /** Sets the factor by which loads take longer. */
  void setSlowdown(double factor) {
    updateProgress();
    slowdown = factor;
    scheduleNextCompletion();
  }

  private void startTransfer(Transfer transfer) {
    updateProgress();
    running.add(transfer);
    scheduleNextCompletion();
  }

  private void updateProgress() {
    double passed = (time.micros() - lastUpdateMicros) * speed();
    running.forEach(transfer -> transfer.remainingMicros -= passed);
    lastUpdateMicros = time.micros();
  }

  private void scheduleNextCompletion() {
    scheduleVersion++;
    long expectedVersion = scheduleVersion;
    running.stream()
        .mapToDouble(transfer -> transfer.remainingMicros)
        .min()
        .ifPresent(
            least -> {
              long wait = (long) Math.ceil(Math.max(0, least) / speed()) + 1;
              time.scheduleAt(time.micros() + wait, () -> finishTransfers(expectedVersion));
            });
  }

  private void finishTransfers(long expectedVersion) {
    if (expectedVersion != scheduleVersion) {
      return;
    }
    updateProgress();
    List<Transfer> complete =
        running.stream()
            .filter(transfer -> transfer.remainingMicros <= 0 || transfer.cancelled)
            .toList();
    running.removeAll(complete);
    scheduleNextCompletion();
    complete.stream().filter(transfer -> !transfer.cancelled).forEach(one -> one.onComplete.run());
  }

  private double speed() {
    double shared = running.isEmpty() ? 1 : Math.min(1, (double) fullSpeedLoads / running.size());
    return shared / slowdown;
  }
}
