package dev.wisteriarail.core.fleet;

/**
 * When a model that is not loaded could serve.
 *
 * @param service the service
 * @param model the model
 * @param startsInMillis time until it can serve, in milliseconds; negative if it is not planned
 */
public record ModelForecast(String service, String model, long startsInMillis) {

  /** A model that is not planned to be loaded. */
  public static final long UNPLANNED = -1;
}
