package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * What the coordinator tells other nodes of an engine.
 *
 * @param runner the runner
 * @param bornMillis the run of the runner that this is about, in Unix milliseconds; 0 if unknown
 * @param revision number of the view; a later one is higher
 * @param models the models that it can serve now
 * @param loading the model that is being loaded; empty text if none
 * @param readyInMillis time until the loading model can serve, in milliseconds
 * @param running requests of all nodes that it serves
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
