package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * The view of an engine that the coordinator publishes to other nodes.
 *
 * @param runner the runner
 * @param bornMillis start time of the run that the view describes, in Unix milliseconds; 0 if
 *     unknown
 * @param revision revision of the view; later views have higher ones
 * @param models the models that it can serve now
 * @param loading the model that is being loaded; empty if none
 * @param readyInMillis time until the loading model can serve, in milliseconds
 * @param running requests of all nodes that it is serving
 * @param tokens tokens of those requests
 */
public record RunnerView(
    String runner,
    long bornMillis,
    long revision,
    List<LoadedModel> models,
    String loading,
    long readyInMillis,
    int running,
    long tokens) {

  /** Copies the list. */
  public RunnerView {
    models = List.copyOf(models);
  }
}
