package dev.wisteriarail.spi;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.PlatformException;

/** Engines and plain services as a node reaches them. Thread-safe; calls block. */
public interface EngineClient {

  /** Runs an attempt and returns once the listener was told of its end. */
  void dispatch(Effect.Dispatch dispatch, AttemptListener listener);

  /** Asks a runner to stop an attempt; best effort. */
  void cancel(AttemptId attempt, RunnerId runner);

  /** Sends an order and returns what is known of its outcome. */
  OrderOutcome sendOrder(Effect.OrderEngine order);

  /**
   * Asks for a runner's report.
   *
   * @throws PlatformException if the runner does not answer in time
   */
  EngineReport requestReport(RunnerId runner) throws PlatformException;
}
