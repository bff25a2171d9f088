package dev.wisteriarail.core.fleet;

/**
 * A model or one of its adapters, as callers ask for it.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty text for the model itself
 */
public record DemandKey(String service, String model, String adapter)
    implements Comparable<DemandKey> {

  /** Returns the key of a model itself. */
  public static DemandKey of(String service, String model) {
    return new DemandKey(service, model, "");
  }

  @Override
  public int compareTo(DemandKey other) {
    int order = service.compareTo(other.service);
    order = order == 0 ? model.compareTo(other.model) : order;
    return order == 0 ? adapter.compareTo(other.adapter) : order;
  }
}
