package dev.wisteriarail.spi;

import dev.wisteriarail.core.Effect;

/** Relays answers to callers. Thread-safe; calls do not block. */
public interface CallerGateway {

  /** Relays a chunk of an answer. */
  void sendChunk(Effect.AnswerChunk chunk);

  /** Ends a request with its outcome. */
  void end(Effect.EndRequest end);
}
