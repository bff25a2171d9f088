package dev.wisteriarail.runtime;

import dev.wisteriarail.core.NodeStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Passes the core's status from the event loop to callers on other threads. The status is computed
 * only on request; concurrent requests share one result.
 *
 * <p>Thread-safe.
 */
final class StatusProvider {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final AtomicReference<CompletableFuture<NodeStatus>> pending = new AtomicReference<>();

  /** Completes the pending request, if there is one. Called on the event loop. */
  void completePending(Supplier<NodeStatus> status) {
    CompletableFuture<NodeStatus> future = pending.getAndSet(null);
    if (future != null) {
      future.complete(status.get());
    }
  }

  /**
   * Requests the status and waits for it.
   *
   * @param wake wakes the event loop, so that it calls {@link #completePending}
   * @return the status; empty if the event loop does not answer in time
   */
  Optional<NodeStatus> request(Runnable wake) throws InterruptedException {
    CompletableFuture<NodeStatus> future =
        pending.updateAndGet(existing -> existing == null ? new CompletableFuture<>() : existing);
    wake.run();
    try {
      return Optional.of(future.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    } catch (ExecutionException | TimeoutException failure) {
      return Optional.empty();
    }
  }
}
