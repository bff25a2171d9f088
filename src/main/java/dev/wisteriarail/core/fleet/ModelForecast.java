package dev.wisteriarail.core.fleet;

/**
 * Forecast of when a model or an adapter that is not loaded can serve.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 * @param startsInMillis time until it can serve, in milliseconds; negative if no load is planned
 */
public record ModelForecast(String service, String model, String adapter, long startsInMillis) {

  /** Value of {@code startsInMillis} if no load is planned. */
  public static final long UNPLANNED = -1;

  /** Returns the model or adapter of the forecast. */
  public DemandKey key() {
    return new DemandKey(service, model, adapter);
  }
}
