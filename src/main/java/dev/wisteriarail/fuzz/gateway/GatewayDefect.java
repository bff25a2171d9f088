package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import java.util.List;

/**
 * A deliberate defect of all nodes, injected between their cores and the simulation. Tests use it
 * to show that a check detects the fault it is meant for.
 */
public interface GatewayDefect {

  /** Nodes without a defect. */
  GatewayDefect NONE = new GatewayDefect() {};

  /** Returns the settings that the nodes use. */
  default GatewaySettings alter(GatewaySettings settings) {
    return settings;
  }

  /** Returns the events that a core handles in place of an event. */
  default List<GatewayEvent> alter(GatewayEvent event) {
    return List.of(event);
  }

  /** Returns the effects that are performed in place of an effect. */
  default List<GatewayEffect> alter(GatewayEffect effect) {
    return List.of(effect);
  }
}
