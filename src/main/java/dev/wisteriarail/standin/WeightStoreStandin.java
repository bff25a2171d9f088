package dev.wisteriarail.standin;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A stand-in for the weight store; {@code POST /fetch?ms=N} returns when the transfer of the
 * weights is complete.
 *
 * <p>It starts a limited number of fetches per second. While more fetches run than the full-speed
 * limit, each takes proportionally longer. Thread-safe.
 */
public final class WeightStoreStandin implements AutoCloseable {

  private static final long STEP_MILLIS = 5;

  private final double fetchesPerSecond;
  private final int fullSpeedFetches;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger completedFetches = new AtomicInteger();
  private final StandinServer server;
  private long nextStartNanos = System.nanoTime();

  private WeightStoreStandin(
      Endpoint endpoint, long seed, double fetchesPerSecond, int fullSpeedFetches)
      throws SettingsException {
    this.fetchesPerSecond = fetchesPerSecond;
    this.fullSpeedFetches = fullSpeedFetches;
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts a weight store.
   *
   * @param fetchesPerSecond maximum number of fetches started per second
   * @param fullSpeedFetches maximum number of concurrent fetches at full speed
   * @throws SettingsException if the port cannot be bound
   */
  public static WeightStoreStandin start(
      Endpoint endpoint, long seed, double fetchesPerSecond, int fullSpeedFetches)
      throws SettingsException {
    return new WeightStoreStandin(endpoint, seed, fetchesPerSecond, fullSpeedFetches);
  }

  private void serve(Call call) throws IOException, InterruptedException {
    if (!call.path().equals("/fetch")) {
      call.reply(404, "no such path\n");
      return;
    }
    TimeUnit.NANOSECONDS.sleep(reserveStart());
    running.incrementAndGet();
    try {
      transfer(call.query("ms", 0));
    } finally {
      running.decrementAndGet();
    }
    completedFetches.incrementAndGet();
    call.reply(200, "fetched\n");
  }

  private synchronized long reserveStart() {
    long now = System.nanoTime();
    long start = Math.max(now, nextStartNanos);
    nextStartNanos = start + (long) (TimeUnit.SECONDS.toNanos(1) / fetchesPerSecond);
    return start - now;
  }

  private void transfer(long fullSpeedMillis) throws InterruptedException {
    double remainingMillis = fullSpeedMillis;
    while (remainingMillis > 0) {
      Thread.sleep(STEP_MILLIS);
      double speed = Math.min(1.0, (double) fullSpeedFetches / running.get());
      remainingMillis -= STEP_MILLIS * speed;
    }
  }

  /** Returns the number of fetches that have completed. */
  public int completedFetches() {
    return completedFetches.get();
  }

  /** Returns the server, which holds the address and the faults. */
  public StandinServer server() {
    return server;
  }

  @Override
  public void close() {
    server.close();
  }
}
