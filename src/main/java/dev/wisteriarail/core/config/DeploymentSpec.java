package dev.wisteriarail.core.config;

/**
 * Limits and weights of the whole deployment.
 *
 * @param name the deployment's name
 * @param loadsPerSecond number of loads that the weight store can start per second
 * @param concurrentLoads number of concurrent loads that the weight store serves at full speed
 * @param adapterTransits number of adapters that can be in transit at full speed, on all runners
 * @param coldStartWeight weight of tail cold-start time against idle accelerator hours, from 0 to 1
 */
public record DeploymentSpec(
    String name,
    double loadsPerSecond,
    int concurrentLoads,
    int adapterTransits,
    double coldStartWeight) {

  /** The deployment before any section configures it. */
  public static final DeploymentSpec UNNAMED = new DeploymentSpec("unnamed", 5.0, 4, 32, 0.5);
}
