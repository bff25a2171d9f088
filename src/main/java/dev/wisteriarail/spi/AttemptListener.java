package dev.wisteriarail.spi;

import dev.wisteriarail.core.request.AttemptOutcome;

/** Is told how an attempt goes. Calls come from one thread at a time, in order. */
public interface AttemptListener {

  /**
   * Takes a piece of the answer.
   *
   * @param position number of pieces before it
   * @param text the piece
   */
  void progressed(long position, String text);

  /** Takes the attempt's end; called exactly once, and last. */
  void ended(AttemptOutcome outcome);
}
