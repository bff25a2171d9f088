package dev.wisteriarail.core.fleet;

/**
 * What one node's callers want of a model or of one of its adapters.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter; empty text for the model itself
 * @param waiting requests that wait for it on the node
 * @param worth value of the waiting requests, in multiples of an ordinary request
 * @param leastLeftMillis shortest time that one of them can still wait, in milliseconds
 * @param arrivals requests for it since the node's start
 */
public record ModelDemand(
    String service,
    String model,
    String adapter,
    int waiting,
    double worth,
    long leastLeftMillis,
    long arrivals) {

  /** Returns what is asked for. */
  public DemandKey key() {
    return new DemandKey(service, model, adapter);
  }
}
