package dev.wisteriarail.core.fleet;

/**
 * Identifies a model or one of its adapters as the target of requests.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 */
public record DemandKey(String service, String model, String adapter)
    implements Comparable<DemandKey> {

  /** Returns the key of a model without an adapter. */
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
