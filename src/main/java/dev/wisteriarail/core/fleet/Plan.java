package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * What the planner wants done now.
 *
 * @param orders at most one order an engine
 * @param forecasts when models that are waited for, and are on no engine, can serve
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
   * @param reason why, for the log
   */
  public record PlannedOrder(String runner, FleetOrder order, String reason) {}

  /**
   * When a model can serve.
   *
   * @param model the model
   * @param startsInMillis time until then, in milliseconds; {@link ModelForecast#UNPLANNED} if
   *     nothing is planned
   */
  public record Forecast(String model, long startsInMillis) {}
}
