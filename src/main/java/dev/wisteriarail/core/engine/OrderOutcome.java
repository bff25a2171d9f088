package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.FencingNumber;

/** What is known of an engine order after its call returned. */
public sealed interface OrderOutcome {

  /** The engine carried the order out or has started to. */
  record Done() implements OrderOutcome {}

  /**
   * The engine refused the order since it has seen a higher fencing number.
   *
   * @param highest the number that it has seen
   */
  record Fenced(FencingNumber highest) implements OrderOutcome {}

  /**
   * The engine refused the order for another reason, without effect.
   *
   * @param reason the engine's words
   */
  record Failed(String reason) implements OrderOutcome {}

  /**
   * The order may have taken effect or may still do so; its answer was lost.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements OrderOutcome {}
}
