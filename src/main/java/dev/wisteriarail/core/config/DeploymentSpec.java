package dev.wisteriarail.core.config;

/**
 * Limits and weights of the whole deployment.
 *
 * @param name the deployment's name
 * @param loadsPerSecond loads that the weight store starts in a second
 * @param concurrentLoads loads that the weight store serves at full speed at once
 * @param adapterTransits adapters in transit at full speed over all runners
 * @param coldStartWeight weight of tail cold-start time against idle accelerator hours, from 0 to 1
 */
public record DeploymentSpec(
    String name,
    double loadsPerSecond,
    int concurrentLoads,
    int adapterTransits,
    double coldStartWeight) {

  /** The deployment before any answers are published. */
  public static final DeploymentSpec UNNAMED = new DeploymentSpec("unnamed", 5.0, 4, 32, 0.5);
}
