package dev.wisteriarail.core.gateway;

import java.time.Duration;

/**
 * How long API keys are believed by a node that does not learn about new configurations.
 *
 * @param failClosed whether the node then refuses requests that need a key; if not, it continues
 *     with the configuration that it has
 * @param bound maximum time since the configuration was confirmed
 */
public record RevocationRule(boolean failClosed, Duration bound) {

  /**
   * Never refuses. The bound applies if only {@code failClosed} is set; it is several times the 1.8
   * s for which a configuration is unconfirmed in normal operation, and longer than a change of the
   * coordinator.
   */
  public static final RevocationRule DEFAULT = new RevocationRule(false, Duration.ofSeconds(10));
}
