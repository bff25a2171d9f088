package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All that may take room in an engine: what it serves, what is on its way, and what was unloaded
 * and may still be in use.
 *
 * <p>What was ordered counts from the moment at which the order is sent. It stops to count when the
 * engine says that nothing uses it, or when a report that must be newer than the order does not
 * list it. So the room that is left is never more than the engine has, whatever answers are lost
 * and however old reports are.
 *
 * <p>Adapters are named by their model and themselves with a slash between. Life cycle: one per run
 * of an engine. Not thread-safe.
 */
final class EngineOccupancy {

  /** Reports are some hundred milliseconds old; after this long they include what was done. */
  static final Duration REPORT_LAG = Duration.ofMillis(450);

  /** The time at which each model and adapter last changed; the least if a report showed it. */
  private final Map<String, Instant> changedAt = new TreeMap<>();

  private final Set<String> unloading = new HashSet<>();

  /** What {@link #contents} returns; empty after a change, as every plan asks for it. */
  private Optional<Map<String, Set<String>>> contents = Optional.empty();

  /** Notes a load that is sent now; returns whether it takes room that was not taken before. */
  boolean reserve(FleetOrder order, Instant now) {
    unloading.remove(nameOf(order));
    contents = Optional.empty();
    return changedAt.put(nameOf(order), now) == null;
  }

  /** Notes that an unloading was accepted and waits for requests, as far as is known. */
  void markUnloading(FleetOrder order, Instant now) {
    String name = nameOf(order);
    if (changedAt.replace(name, now) != null) {
      unloading.add(name);
    }
  }

  /** Notes that what an order named is not there, nor on its way. */
  void release(FleetOrder order) {
    String name = nameOf(order);
    String adapters = name + "/";
    changedAt.keySet().removeIf(each -> each.equals(name) || each.startsWith(adapters));
    contents = Optional.empty();
    unloading.removeIf(each -> each.equals(name) || each.startsWith(adapters));
  }

  /** Notes what a directory entry lists; any report that is newer than the orders corrects it. */
  void add(Collection<LoadedModel> models) {
    namesOf(models).forEach(name -> changedAt.putIfAbsent(name, Instant.MIN));
    contents = Optional.empty();
  }

  /**
   * Takes a report.
   *
   * @param complete whether what it does not list and was not ordered lately is not there
   */
  void accept(RunnerReport report, Instant requestedAt, boolean complete) {
    Instant reflectedUntil = requestedAt.minus(REPORT_LAG);
    Set<String> loaded = namesOf(report.models());
    for (String name : loaded) {
      Instant changed = changedAt.get(name);
      if (changed == null ? complete : changed.isBefore(reflectedUntil)) {
        changedAt.put(name, Instant.MIN);
      }
    }
    if (complete) {
      report.incoming().forEach(name -> changedAt.putIfAbsent(name, requestedAt));
      changedAt
          .entrySet()
          .removeIf(
              each ->
                  each.getValue().isBefore(reflectedUntil)
                      && !loaded.contains(each.getKey())
                      && !report.incoming().contains(each.getKey()));
      unloading.retainAll(changedAt.keySet());
    }
    contents = Optional.empty();
  }

  /** Returns whether a report is needed to know what of it is there, and can tell by now. */
  boolean needsReport(Instant now) {
    Instant reflectedUntil = now.minus(REPORT_LAG);
    return changedAt.values().stream()
            .anyMatch(changed -> !changed.equals(Instant.MIN) && changed.isBefore(reflectedUntil))
        || !unloading.isEmpty();
  }

  /** Returns whether a report showed that an adapter is loaded, and it was not unloaded since. */
  boolean isLoaded(String name) {
    return Instant.MIN.equals(changedAt.get(name)) && !unloading.contains(name);
  }

  /** Returns whether a model or adapter was unloaded and may still take room. */
  boolean isUnloading(String name) {
    return unloading.contains(name);
  }

  /** Returns the models that take room, with the adapters that do. */
  Map<String, Set<String>> contents() {
    if (contents.isEmpty()) {
      contents = Optional.of(group());
    }
    return contents.get();
  }

  private Map<String, Set<String>> group() {
    Map<String, Set<String>> models = new HashMap<>();
    for (String name : changedAt.keySet()) {
      int slash = name.indexOf('/');
      String model = slash < 0 ? name : name.substring(0, slash);
      Set<String> adapters = models.computeIfAbsent(model, each -> new TreeSet<>());
      if (slash >= 0) {
        adapters.add(name.substring(slash + 1));
      }
    }
    return models;
  }

  private static String nameOf(FleetOrder order) {
    return switch (order) {
      case FleetOrder.LoadModel load -> load.model();
      case FleetOrder.UnloadModel unload -> unload.model();
      case FleetOrder.LoadAdapter load -> load.model() + "/" + load.adapter();
      case FleetOrder.UnloadAdapter unload -> unload.model() + "/" + unload.adapter();
    };
  }

  private static Set<String> namesOf(Collection<LoadedModel> models) {
    Set<String> names = new HashSet<>();
    for (LoadedModel model : models) {
      names.add(model.name());
      model.adapters().forEach(adapter -> names.add(model.name() + "/" + adapter));
    }
    return names;
  }
}
