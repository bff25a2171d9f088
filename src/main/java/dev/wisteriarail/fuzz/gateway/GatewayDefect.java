package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import java.util.List;

/**
 * A deliberate defect of all nodes, put between their cores and the rest. Tests use it to show that
 * a check sees what it is for.
 */
public interface GatewayDefect {

  /** Nodes without a defect. */
  GatewayDefect NONE = new GatewayDefect() {};

  /** Returns the settings that the nodes get. */
  default GatewaySettings alter(GatewaySettings settings) {
    return settings;
  }

  /** Returns what a core is told in place of an event; empty for nothing. */
  default List<GatewayEvent> alter(GatewayEvent event) {
    return List.of(event);
  }

  /** Returns what is carried out in place of an effect. */
  default List<GatewayEffect> alter(GatewayEffect effect) {
    return List.of(effect);
  }
}
