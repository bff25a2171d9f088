package dev.wisteriarail.core.fleet;

import java.util.List;
import java.util.Set;

/**
 * What an engine answers when it is asked for its state; some hundred milliseconds old.
 *
 * @param runner the runner
 * @param bornMillis time of its start, in Unix milliseconds; 0 if unknown
 * @param orders number of orders that it accepted since its start
 * @param busy whether an order is being carried out
 * @param models the models that it holds
 * @param incoming adapters on their way to it, as model and adapter joined by a slash; they take
 *     their places already
 * @param inHostMemory models whose weights its host memory holds
 * @param onDisk models whose weights its disk holds
 * @param waiting requests in its queue
 * @param running requests that it serves
 * @param tokensUsed tokens in memory that cannot yield
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
