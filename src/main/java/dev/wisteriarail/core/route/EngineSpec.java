package dev.wisteriarail.core.route;

import java.util.List;

/**
 * Configuration of the engines of a service whose runners serve models.
 *
 * @param slots maximum number of concurrent requests on a runner
 * @param cacheTokens number of prompt and answer tokens that fit into a runner's memory
 * @param weightMegabytes memory of a runner for weights and adapters, in MB
 * @param adapterSlots maximum number of adapters loaded on a runner
 * @param loadsPerSecond number of loads from the weight store that may start per second, over all
 *     runners
 * @param models the models that the runners can load
 */
public record EngineSpec(
    int slots,
    long cacheTokens,
    double weightMegabytes,
    int adapterSlots,
    double loadsPerSecond,
    List<HostedModel> models) {

  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }
}
