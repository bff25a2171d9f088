package dev.wisteriarail.spi;

import dev.wisteriarail.core.request.AttemptOutcome;

/** Receives the progress of an attempt. Calls come in order, from one thread at a time. */
public interface AttemptListener {

  /**
   * Receives a chunk of the answer.
   *
   * @param position number of chunks before it
   * @param text the text of the chunk
   */
  void progressed(long position, String text);

  /** Receives the outcome of the attempt. Called exactly once, as the last call. */
  void ended(AttemptOutcome outcome);
}
