package dev.wisteriarail.core.route;

import dev.wisteriarail.core.fleet.LoadSource;
import java.time.Duration;

/**
 * A model that a service's runners can hold.
 *
 * @param name the model's name
 * @param megabytes size of its weights, in MB
 * @param loadFromStore time of a load from the weight store at its full speed
 * @param loadFromDisk time of a load from the runner's disk
 * @param loadFromMemory time of a load from the runner's host memory
 * @param adapters number of its adapters, named a1, a2, and so on
 * @param adapterMegabytes size of one adapter, in MB
 */
public record HostedModel(
    String name,
    double megabytes,
    Duration loadFromStore,
    Duration loadFromDisk,
    Duration loadFromMemory,
    int adapters,
    double adapterMegabytes) {

  /** Returns the time of a load, alone, from a source. */
  public Duration loadFrom(LoadSource source) {
    return switch (source) {
      case MEMORY -> loadFromMemory;
      case DISK -> loadFromDisk;
      case STORE -> loadFromStore;
    };
  }
}
