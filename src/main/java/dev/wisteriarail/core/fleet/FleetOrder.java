package dev.wisteriarail.core.fleet;

/** An order to a runner that holds models. */
public sealed interface FleetOrder {

  /** Returns the model that it concerns. */
  String model();

  /**
   * Loads a model.
   *
   * @param model the model
   * @param source where its weights are expected to come from
   */
  record LoadModel(String model, LoadSource source) implements FleetOrder {}

  /**
   * Drops a model, its adapters and what was kept of its prompts, after its runs.
   *
   * @param model the model
   */
  record UnloadModel(String model) implements FleetOrder {}

  /**
   * Loads an adapter of a model that the runner holds.
   *
   * @param model the model
   * @param adapter the adapter
   */
  record LoadAdapter(String model, String adapter) implements FleetOrder {}

  /**
   * Drops an adapter.
   *
   * @param model the model
   * @param adapter the adapter
   */
  record UnloadAdapter(String model, String adapter) implements FleetOrder {}
}
