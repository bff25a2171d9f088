package dev.wisteriarail.gateway;

import dev.wisteriarail.core.gateway.GatewayEvent;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Passes on the first result of one effect and ignores later ones: a call may throw after its
 * callback was registered. Life cycle: one per effect. Thread-safe.
 */
final class SingleResult {

  private final AtomicBoolean submitted = new AtomicBoolean();
  private final Consumer<GatewayEvent> events;

  private SingleResult(Consumer<GatewayEvent> events) {
    this.events = events;
  }

  /** Returns a result that is passed to the given consumer. */
  static SingleResult to(Consumer<GatewayEvent> events) {
    return new SingleResult(events);
  }

  /** Passes on an event if it is the first one. */
  void submit(GatewayEvent event) {
    if (submitted.compareAndSet(false, true)) {
      events.accept(event);
    }
  }
}
