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
 * Tracks everything that may occupy memory or adapter slots of an engine: what it serves, what is
 * being loaded, and what was unloaded and may still be in use.
 *
 * <p>An ordered load counts from the moment at which the order is sent. An entry stops counting
 * when the engine confirms that it is not in use, or when a report that must be newer than the
 * order does not list it. The computed free capacity therefore never exceeds the real one, even if
 * answers are lost or reports are old.
 *
 * <p>Adapters are named {@code model/adapter}. Life cycle: one per run of an engine. Not
 * thread-safe.
 */
final class EngineOccupancy {

  /** Time after which a report includes a change: reports are some hundred milliseconds old. */
  static final Duration REPORT_LAG = Duration.ofMillis(450);

  /** The last change of each model and adapter; {@link Instant#MIN} if a report confirmed it. */
  private final Map<String, Instant> changedAt = new TreeMap<>();

  private final Set<String> unloading = new HashSet<>();

  /** Cached result of {@link #contents}, which every plan needs; empty after a change. */
  private Optional<Map<String, Set<String>>> contents = Optional.empty();

  /**
   * Reserves capacity for a load that is being sent; returns whether it was not reserved before.
   */
  boolean reserve(FleetOrder order, Instant now) {
    unloading.remove(nameOf(order));
    contents = Optional.empty();
    return changedAt.put(nameOf(order), now) == null;
  }

  /** Records that an unload was accepted and may still have to wait for running requests. */
  void markUnloading(FleetOrder order, Instant now) {
    String name = nameOf(order);
    if (changedAt.replace(name, now) != null) {
      unloading.add(name);
    }
  }

  /** Removes the target of an order, which is neither loaded nor being loaded. */
  void release(FleetOrder order) {
    String name = nameOf(order);
    String adapters = name + "/";
    changedAt.keySet().removeIf(each -> each.equals(name) || each.startsWith(adapters));
    contents = Optional.empty();
    unloading.removeIf(each -> each.equals(name) || each.startsWith(adapters));
  }

  /** Adds the models of a directory entry; a report that is newer than the orders corrects them. */
  void add(Collection<LoadedModel> models) {
    namesOf(models).forEach(name -> changedAt.putIfAbsent(name, Instant.MIN));
    contents = Optional.empty();
  }

  /**
   * Handles a report.
   *
   * @param complete whether models and adapters that the report does not list, and that were not
   *     ordered recently, are absent
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

  /**
   * Returns whether a report is needed to resolve a pending change and is recent enough to do so.
   */
  boolean needsReport(Instant now) {
    Instant reflectedUntil = now.minus(REPORT_LAG);
    return changedAt.values().stream()
            .anyMatch(changed -> !changed.equals(Instant.MIN) && changed.isBefore(reflectedUntil))
        || !unloading.isEmpty();
  }

  /** Returns whether a report showed an adapter as loaded and it was not unloaded since. */
  boolean isLoaded(String name) {
    return Instant.MIN.equals(changedAt.get(name)) && !unloading.contains(name);
  }

  /** Returns whether a model or adapter was unloaded and may still occupy capacity. */
  boolean isUnloading(String name) {
    return unloading.contains(name);
  }

  /** Returns the models that occupy capacity, each with the adapters that do. */
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
