package dev.wisteriarail.spi;

import dev.wisteriarail.core.Effect;

/** Passes answers on to callers. Thread-safe; calls do not block. */
public interface CallerGateway {

  /** Passes a piece of an answer on. */
  void sendChunk(Effect.AnswerChunk chunk);

  /** Ends a request. */
  void end(Effect.EndRequest end);
}
