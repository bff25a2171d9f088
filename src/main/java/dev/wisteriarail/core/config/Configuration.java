package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The configuration in force, merged from all accepted sections.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision number of accepted changes so far
 * @param deployment limits of the deployment
 * @param models models by identifier; the memory of a model includes that of its adapters
 * @param adapters adapters by identifier
 * @param customers customers by identifier
 * @param kinds request kinds by identifier
 * @param services plain services by identifier
 * @param runners runners by identifier
 */
public record Configuration(
    Revision revision,
    DeploymentSpec deployment,
    Map<ModelId, ModelSpec> models,
    Map<AdapterId, AdapterSpec> adapters,
    Map<CustomerId, CustomerSpec> customers,
    Map<KindId, KindSpec> kinds,
    Map<ServiceId, ServiceSpec> services,
    Map<RunnerId, RunnerSpec> runners) {

  /** The configuration before any section is published. */
  public static final Configuration EMPTY = merge(Revision.NONE, List.of());

  /** Merges sections. If an identifier occurs more than once, the first entry is used. */
  public static Configuration merge(Revision revision, Collection<Section> sections) {
    DeploymentSpec deployment =
        sections.stream()
            .flatMap(section -> section.deployment().stream())
            .findFirst()
            .orElse(DeploymentSpec.UNNAMED);
    Map<AdapterId, AdapterSpec> adapters = index(sections, Section::adapters, AdapterSpec::id);
    return new Configuration(
        revision,
        deployment,
        addAdapterMemory(index(sections, Section::models, ModelSpec::id), adapters.values()),
        adapters,
        index(sections, Section::customers, CustomerSpec::id),
        index(sections, Section::kinds, KindSpec::id),
        index(sections, Section::services, ServiceSpec::id),
        index(sections, Section::runners, RunnerSpec::id));
  }

  private static Map<ModelId, ModelSpec> addAdapterMemory(
      Map<ModelId, ModelSpec> models, Collection<AdapterSpec> adapters) {
    Map<ModelId, ModelSpec> withAdapters = new TreeMap<>(models);
    for (AdapterSpec adapter : adapters) {
      withAdapters.computeIfPresent(
          adapter.model(),
          (id, model) -> model.withMemoryBytes(model.memoryBytes() + adapter.memoryBytes()));
    }
    return Collections.unmodifiableMap(withAdapters);
  }

  private static <K extends Comparable<K>, V> Map<K, V> index(
      Collection<Section> sections, Function<Section, List<V>> entries, Function<V, K> key) {
    Map<K, V> indexed = new TreeMap<>();
    for (Section section : sections) {
      for (V entry : entries.apply(section)) {
        indexed.putIfAbsent(key.apply(entry), entry);
      }
    }
    return Collections.unmodifiableMap(indexed);
  }
}
