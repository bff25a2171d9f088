package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Handling of one event by {@link GatewayCore}: the time of the step and the effects collected so
 * far.
 *
 * <p>Life cycle: one per event. Not thread-safe.
 */
public final class GatewayStep {

  private final Instant now;
  private final List<GatewayEffect> effects = new ArrayList<>();

  private GatewayStep(Instant now) {
    this.now = now;
  }

  /** Returns a step without effects. */
  public static GatewayStep at(Instant now) {
    return new GatewayStep(now);
  }

  /** Adds an effect. */
  public void emit(GatewayEffect effect) {
    effects.add(effect);
  }

  /** Adds a log event with an event code and fields as alternating names and values. */
  public void log(EventCode code, Object... namesAndValues) {
    effects.add(new GatewayEffect.LogEvent(NodeEvent.of(code, namesAndValues)));
  }

  /** Returns the time of the step on the node's monotonic clock. */
  public Instant now() {
    return now;
  }

  /** Returns the effects in the order in which they were added. */
  public List<GatewayEffect> effects() {
    return Collections.unmodifiableList(effects);
  }
}
