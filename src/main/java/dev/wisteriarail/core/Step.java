package dev.wisteriarail.core;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One step of a node's core: its time, and the effects emitted so far.
 *
 * <p>Life cycle: one per event. Not thread-safe.
 */
public final class Step {

  private final Instant now;
  private final List<Effect> effects = new ArrayList<>();

  private Step(Instant now) {
    this.now = now;
  }

  /** Creates a step without effects. */
  public static Step at(Instant now) {
    return new Step(now);
  }

  /** Adds an effect. */
  public void emit(Effect effect) {
    effects.add(effect);
  }

  /** Emits a log event with fields given as alternating names and values. */
  public void log(EventCode code, Object... namesAndValues) {
    effects.add(new Effect.Emit(NodeEvent.of(code, namesAndValues)));
  }

  // Accessors

  /** Returns the time of the step on the node's monotonic clock. */
  public Instant now() {
    return now;
  }

  /** Returns the effects in the order in which they were emitted. */
  public List<Effect> effects() {
    return Collections.unmodifiableList(effects);
  }
}
