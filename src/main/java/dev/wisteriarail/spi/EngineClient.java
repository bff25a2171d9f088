package dev.wisteriarail.spi;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.PlatformException;

/** Client of engines and plain services. Thread-safe; calls block. */
public interface EngineClient {

  /** Runs an attempt; returns after the listener has received its outcome. */
  void dispatch(Effect.Dispatch dispatch, AttemptListener listener);

  /** Asks a runner to stop an attempt; best effort. */
  void cancel(AttemptId attempt, RunnerId runner);

  /** Sends an order and returns its outcome, which may be unknown. */
  OrderOutcome sendOrder(Effect.OrderEngine order);

  /**
   * Requests a runner's report.
   *
   * @throws PlatformException if the runner does not answer in time
   */
  EngineReport requestReport(RunnerId runner) throws PlatformException;
}
