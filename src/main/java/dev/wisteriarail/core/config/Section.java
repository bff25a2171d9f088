package dev.wisteriarail.core.config;

import java.util.List;
import java.util.Optional;

/**
 * One team's answers: a section of the configuration that is replaced as a whole.
 *
 * <p>Each list is empty where the team answers nothing about it. Identifiers are unique over all
 * sections; a change that takes another section's identifier is rejected.
 *
 * @param name the section's name, unique over the teams
 * @param deployment limits of the deployment; at most one section holds them
 * @param models models
 * @param adapters adapters
 * @param customers customers
 * @param kinds kinds of request
 * @param services plain services
 * @param runners runners
 */
public record Section(
    String name,
    Optional<DeploymentSpec> deployment,
    List<ModelSpec> models,
    List<AdapterSpec> adapters,
    List<CustomerSpec> customers,
    List<KindSpec> kinds,
    List<ServiceSpec> services,
    List<RunnerSpec> runners) {

  /** Copies the lists. */
  public Section {
    models = List.copyOf(models);
    adapters = List.copyOf(adapters);
    customers = List.copyOf(customers);
    kinds = List.copyOf(kinds);
    services = List.copyOf(services);
    runners = List.copyOf(runners);
  }
}
