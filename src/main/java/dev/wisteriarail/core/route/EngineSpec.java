package dev.wisteriarail.core.route;

import java.util.List;

/**
 * The engines of a service whose runners hold models.
 *
 * @param slots requests that a runner serves at a time
 * @param cacheTokens tokens of prompts and answers that a runner's memory holds
 * @param weightMegabytes memory of a runner for weights and adapters, in MB
 * @param adapterSlots adapters that a runner holds at a time
 * @param loadsPerSecond loads from the weight store that may begin in a second, over all runners
 * @param models the models that the runners can hold
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
