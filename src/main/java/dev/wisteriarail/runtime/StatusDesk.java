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
final class StatusDesk {

  private static final Duration LIMIT = Duration.ofSeconds(1);

  private final AtomicReference<CompletableFuture<NodeStatus>> asked = new AtomicReference<>();

  /** Answers a waiting question; called on the event loop. */
  void answer(Supplier<NodeStatus> status) {
    CompletableFuture<NodeStatus> waiting = asked.getAndSet(null);
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
  Optional<NodeStatus> ask(Runnable wake) throws InterruptedException {
    CompletableFuture<NodeStatus> question =
        asked.updateAndGet(known -> known == null ? new CompletableFuture<>() : known);
    wake.run();
    try {
      return Optional.of(question.get(LIMIT.toMillis(), TimeUnit.MILLISECONDS));
    } catch (ExecutionException | TimeoutException unanswered) {
      return Optional.empty();
    }
  }
}
