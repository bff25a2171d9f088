package dev.wisteriarail.core.fleet;

/**
 * Demand of one node's callers for a model or for one of its adapters.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty for the model itself
 * @param waiting requests that wait for it on the node
 * @param worth value of the waiting requests, in multiples of an ordinary request
 * @param leastLeftMillis shortest time that one of them can still wait, in milliseconds
 * @param arrivals requests for it since the start of the node
 */
public record ModelDemand(
    String service,
    String model,
    String adapter,
    int waiting,
    double worth,
    long leastLeftMillis,
    long arrivals) {

  /** Returns the model or adapter that is requested. */
  public DemandKey key() {
    return new DemandKey(service, model, adapter);
  }
}
