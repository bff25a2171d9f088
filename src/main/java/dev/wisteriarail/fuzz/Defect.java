package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.NodeId;
import java.util.List;

/**
 * A deliberate defect of a node, put between its core and the rest of the fleet. Tests use it to
 * show that a check sees what it is for.
 */
public interface Defect {

  /** A node without a defect. */
  Defect NONE = new Defect() {};

  /** Returns what the core is told in place of an event. */
  default Event alter(NodeId node, Event event) {
    return event;
  }

  /** Returns what is carried out in place of an effect. */
  default List<Effect> alter(NodeId node, Effect effect) {
    return List.of(effect);
  }
}
