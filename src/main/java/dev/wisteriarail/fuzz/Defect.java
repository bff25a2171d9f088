package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.NodeId;
import java.util.List;

/**
 * A deliberate defect of a node, injected between its core and the rest of the fleet. Tests use it
 * to show that a check detects the fault it is meant for.
 */
public interface Defect {

  /** A node without a defect. */
  Defect NONE = new Defect() {};

  /** Returns the event that the core handles in place of an event. */
  default Event alter(NodeId node, Event event) {
    return event;
  }

  /** Returns the effects that are performed in place of an effect. */
  default List<Effect> alter(NodeId node, Effect effect) {
    return List.of(effect);
  }
}
