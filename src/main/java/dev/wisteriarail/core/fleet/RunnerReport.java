package dev.wisteriarail.core.fleet;

import java.util.List;
import java.util.Set;

/**
 * An engine's report of its state, some hundred milliseconds old.
 *
 * @param runner the runner
 * @param bornMillis its start time, in Unix milliseconds; 0 if unknown
 * @param orders number of orders that it accepted since its start
 * @param busy whether it is executing an order
 * @param models the models that it holds
 * @param incoming adapters that are being loaded, named {@code model/adapter}; they already occupy
 *     their slots
 * @param inHostMemory models whose weights its host memory holds
 * @param onDisk models whose weights its disk holds
 * @param waiting requests in its queue
 * @param running requests that it is serving
 * @param tokensUsed tokens in memory that cannot be evicted
 */
public record RunnerReport(
    String runner,
    long bornMillis,
    long orders,
    boolean busy,
    List<LoadedModel> models,
    Set<String> incoming,
    Set<String> inHostMemory,
    Set<String> onDisk,
    int waiting,
    int running,
    long tokensUsed) {

  /** Copies the collections. */
  public RunnerReport {
    models = List.copyOf(models);
    incoming = Set.copyOf(incoming);
    inHostMemory = Set.copyOf(inHostMemory);
    onDisk = Set.copyOf(onDisk);
  }
}
