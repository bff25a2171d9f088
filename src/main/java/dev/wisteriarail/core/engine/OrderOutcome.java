package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.FencingNumber;

/** Outcome of an engine order, as known to the controller. */
public sealed interface OrderOutcome {

  /** The engine has executed the order or has started to. */
  record Done() implements OrderOutcome {}

  /**
   * The engine refused the order because it has seen a higher fencing number.
   *
   * @param highest the highest number that it has seen
   */
  record Fenced(FencingNumber highest) implements OrderOutcome {}

  /**
   * The engine refused the order for another reason, without effect.
   *
   * @param reason the reason given by the engine
   */
  record Failed(String reason) implements OrderOutcome {}

  /**
   * The response was lost; the order may have taken effect or may still do so.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements OrderOutcome {}
}
