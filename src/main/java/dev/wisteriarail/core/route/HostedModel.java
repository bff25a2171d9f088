package dev.wisteriarail.core.route;

import dev.wisteriarail.core.fleet.LoadSource;
import java.time.Duration;

/**
 * A model that the runners of a service can load.
 *
 * @param name the model's name
 * @param megabytes size of its weights, in MB
 * @param loadFromStore load time from the weight store at full speed
 * @param loadFromDisk load time from the runner's disk
 * @param loadFromMemory load time from the runner's host memory
 * @param adapters number of its adapters, which are named a1, a2, and so on
 * @param adapterMegabytes size of each adapter, in MB
 */
public record HostedModel(
    String name,
    double megabytes,
    Duration loadFromStore,
    Duration loadFromDisk,
    Duration loadFromMemory,
    int adapters,
    double adapterMegabytes) {

  /** Returns the load time from a source without concurrent loads. */
  public Duration loadFrom(LoadSource source) {
    return switch (source) {
      case MEMORY -> loadFromMemory;
      case DISK -> loadFromDisk;
      case STORE -> loadFromStore;
    };
  }
}
