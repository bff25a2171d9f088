package dev.wisteriarail.core.fleet;

/**
 * When a model or an adapter that is not loaded could serve.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty text for the model itself
 * @param startsInMillis time until it can serve, in milliseconds; negative if it is not planned
 */
public record ModelForecast(String service, String model, String adapter, long startsInMillis) {

  /** A model that is not planned to be loaded. */
  public static final long UNPLANNED = -1;

  /** Returns what is forecast. */
  public DemandKey key() {
    return new DemandKey(service, model, adapter);
  }
}
