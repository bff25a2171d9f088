package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * A model in the memory of a runner's accelerators.
 *
 * @param name the model's name
 * @param adapters its adapters that are loaded there
 */
public record LoadedModel(String name, List<String> adapters) {

  /** Copies the list. */
  public LoadedModel {
    adapters = List.copyOf(adapters);
  }
}
