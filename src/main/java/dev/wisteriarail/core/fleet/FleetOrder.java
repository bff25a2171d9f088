package dev.wisteriarail.core.fleet;

/** An order to a runner that hosts models. */
public sealed interface FleetOrder {

  /** Returns the model that the order is about. */
  String model();

  /**
   * Loads a model.
   *
   * @param model the model
   * @param source where its weights are expected to be loaded from
   */
  record LoadModel(String model, LoadSource source) implements FleetOrder {}

  /**
   * Unloads a model, its adapters and its cached prompts, after its running requests complete.
   *
   * @param model the model
   */
  record UnloadModel(String model) implements FleetOrder {}

  /**
   * Loads an adapter of a model that is loaded on the runner.
   *
   * @param model the model
   * @param adapter the adapter
   */
  record LoadAdapter(String model, String adapter) implements FleetOrder {}

  /**
   * Unloads an adapter.
   *
   * @param model the model
   * @param adapter the adapter
   */
  record UnloadAdapter(String model, String adapter) implements FleetOrder {}
}
