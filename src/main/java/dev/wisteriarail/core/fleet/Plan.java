package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * Result of a planning run.
 *
 * @param orders at most one order per engine
 * @param forecasts when the models that requests wait for, and that no engine holds, can serve
 */
public record Plan(List<PlannedOrder> orders, List<Forecast> forecasts) {

  /** Copies the lists. */
  public Plan {
    orders = List.copyOf(orders);
    forecasts = List.copyOf(forecasts);
  }

  /**
   * An order for an engine.
   *
   * @param runner the runner
   * @param order the order
   * @param reason reason for the order, for the log
   */
  public record PlannedOrder(String runner, FleetOrder order, String reason) {}

  /**
   * Forecast of when a model can serve.
   *
   * @param model the model
   * @param startsInMillis time until then, in milliseconds; {@link ModelForecast#UNPLANNED} if no
   *     load is planned
   */
  public record Forecast(String model, long startsInMillis) {}
}
