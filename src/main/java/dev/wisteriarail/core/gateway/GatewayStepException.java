package dev.wisteriarail.core.gateway;

import java.util.List;

/**
 * Thrown when {@link GatewayCore} fails to handle an event. The state that belongs to the effects
 * collected so far has changed, so these effects have to be performed.
 */
public final class GatewayStepException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<GatewayEffect> effects;

  GatewayStepException(List<GatewayEffect> effects, Throwable cause) {
    super(cause.toString(), cause);
    this.effects = List.copyOf(effects);
  }

  /** Returns the effects of the event up to the failure. */
  public List<GatewayEffect> effects() {
    return effects;
  }
}
