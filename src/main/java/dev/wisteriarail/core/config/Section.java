package dev.wisteriarail.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A section of the configuration, published by one team and replaced as a whole.
 *
 * <p>A list is empty if the team configures no such entries. Identifiers are unique across all
 * sections; a change that uses an identifier of another section is rejected.
 *
 * @param name the section's name, unique across the teams
 * @param deployment limits of the deployment; present in at most one section
 * @param models models
 * @param adapters adapters
 * @param customers customers
 * @param kinds request kinds
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
