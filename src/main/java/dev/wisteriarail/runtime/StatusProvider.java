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
 * Hands the core's status from the event loop to whoever asks; costs nothing while nobody does.
 *
 * <p>Thread-safe.
 */
final class StatusProvider {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final AtomicReference<CompletableFuture<NodeStatus>> pending = new AtomicReference<>();

  /** Answers a waiting question; called on the event loop. */
  void completePending(Supplier<NodeStatus> status) {
    CompletableFuture<NodeStatus> waiting = pending.getAndSet(null);
    if (waiting != null) {
      waiting.complete(status.get());
    }
  }

  /**
   * Asks and waits.
   *
   * @param wake makes the event loop take a step
   * @return the status; empty if the event loop does not answer in time
   */
  Optional<NodeStatus> request(Runnable wake) throws InterruptedException {
    CompletableFuture<NodeStatus> question =
        pending.updateAndGet(known -> known == null ? new CompletableFuture<>() : known);
    wake.run();
    try {
      return Optional.of(question.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    } catch (ExecutionException | TimeoutException unanswered) {
      return Optional.empty();
    }
  }
}
