package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LoadedModel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The state of one engine process: models and adapters that are loaded, are loading, or are
 * unloading but still in use by requests. Reports show the state at {@link #REPORT_AGE} before the
 * call. Not thread-safe.
 */
final class FakeEngine {

  /** Age of the state that a report shows. */
  static final Duration REPORT_AGE = Duration.ofMillis(250);

  private static final Duration LOAD_TIME = Duration.ofMillis(900);

  private final Map<String, Set<String>> models = new TreeMap<>();
  private final Map<String, Instant> incoming = new TreeMap<>();
  private final Set<String> unloading = new TreeSet<>();
  private final Map<String, Integer> running = new HashMap<>();
  private final Set<String> disk = new TreeSet<>();
  private final List<State> history = new ArrayList<>();
  private long orders;
  private String loading = "";
  private Instant loadedAt = Instant.EPOCH;

  /**
   * The state that a report shows.
   *
   * @param at time from which the state holds
   */
  record State(
      Instant at,
      long orders,
      boolean busy,
      List<LoadedModel> models,
      Set<String> incoming,
      Set<String> disk) {}

  /** Returns an engine that has models on its disk and none in memory. */
  static FakeEngine withDisk(Set<String> disk) {
    FakeEngine engine = new FakeEngine();
    engine.disk.addAll(disk);
    engine.recordState(Instant.EPOCH);
    return engine;
  }

  // Orders

  /**
   * Handles an order.
   *
   * @param expected number of orders that the sender expects the engine to have accepted
   * @param transit time until a loaded adapter is available
   * @param overcommit receives a description of an order that exceeds the engine's capacity
   */
  FleetOrderOutcome acceptOrder(
      FleetOrder order, long expected, Duration transit, Consumer<String> overcommit, Instant now) {
    advanceTo(now);
    if (isBusy() || expected != orders) {
      return FleetOrderOutcome.CONFLICT;
    }
    if (order instanceof FleetOrder.LoadAdapter load && !models.containsKey(load.model())) {
      return FleetOrderOutcome.REFUSED;
    }
    orders++;
    FleetOrderOutcome outcome =
        switch (order) {
          case FleetOrder.LoadModel load -> {
            loading = load.model();
            loadedAt = now.plus(LOAD_TIME);
            if (models.size() + 1 > GatewayFuzzDeployment.MAX_LOADED_MODELS) {
              overcommit.accept("was ordered to load " + loading + " besides " + models);
            }
            yield FleetOrderOutcome.ACCEPTED;
          }
          case FleetOrder.UnloadModel unload -> {
            unloading.add(unload.model());
            yield FleetOrderOutcome.ACCEPTED;
          }
          case FleetOrder.LoadAdapter load -> {
            loadAdapter(load, now.plus(transit), overcommit);
            yield FleetOrderOutcome.ACCEPTED;
          }
          case FleetOrder.UnloadAdapter unload -> {
            String name = unload.model() + "/" + unload.adapter();
            unloading.add(name);
            yield isUsed(name) ? FleetOrderOutcome.ACCEPTED : FleetOrderOutcome.HOLDS;
          }
        };
    finishUnloads();
    recordState(now);
    return outcome;
  }

  private void loadAdapter(
      FleetOrder.LoadAdapter load, Instant arrival, Consumer<String> overcommit) {
    unloading.remove(load.model() + "/" + load.adapter());
    if (!models.get(load.model()).contains(load.adapter())) {
      incoming.putIfAbsent(load.model() + "/" + load.adapter(), arrival);
    }
    int adapterCount = incoming.size() + models.values().stream().mapToInt(Set::size).sum();
    if (adapterCount > GatewayFuzzDeployment.ADAPTER_SLOTS) {
      overcommit.accept(
          "was ordered to hold "
              + adapterCount
              + " adapters: "
              + models
              + ", incoming "
              + incoming.keySet());
    }
  }

  /** Completes the loads and unloads that are due at a time. */
  private void advanceTo(Instant now) {
    if (!loading.isEmpty() && !now.isBefore(loadedAt)) {
      models.put(loading, new TreeSet<>());
      disk.add(loading);
      loading = "";
      recordState(loadedAt);
    }
    for (Map.Entry<String, Instant> each : List.copyOf(incoming.entrySet())) {
      if (!now.isBefore(each.getValue())) {
        incoming.remove(each.getKey());
        models.getOrDefault(modelOf(each.getKey()), new TreeSet<>()).add(adapterOf(each.getKey()));
        recordState(each.getValue());
      }
    }
    if (finishUnloads()) {
      recordState(now);
    }
  }

  private boolean finishUnloads() {
    boolean changed = false;
    for (String name : List.copyOf(unloading)) {
      if (isUsed(name) || incoming.containsKey(name)) {
        continue;
      }
      changed = true;
      unloading.remove(name);
      if (name.contains("/")) {
        models.getOrDefault(modelOf(name), new TreeSet<>()).remove(adapterOf(name));
      } else {
        models.remove(name);
        incoming.keySet().removeIf(adapter -> modelOf(adapter).equals(name));
        unloading.removeIf(adapter -> modelOf(adapter).equals(name));
      }
    }
    return changed;
  }

  private boolean isBusy() {
    return !loading.isEmpty() || unloading.stream().anyMatch(name -> !name.contains("/"));
  }

  private boolean isUsed(String name) {
    return running.getOrDefault(name, 0) > 0;
  }

  private static String modelOf(String name) {
    int slash = name.indexOf('/');
    return slash < 0 ? name : name.substring(0, slash);
  }

  private static String adapterOf(String name) {
    return name.substring(name.indexOf('/') + 1);
  }

  // Reports

  private void recordState(Instant at) {
    Instant oldest = at.minus(REPORT_AGE);
    while (history.size() > 1 && !history.get(1).at().isAfter(oldest)) {
      history.removeFirst();
    }
    history.addLast(
        new State(
            at, orders, isBusy(), loadedModels(), Set.copyOf(incoming.keySet()), Set.copyOf(disk)));
  }

  /** Returns the state that a report requested at a time shows. */
  State report(Instant now) {
    advanceTo(now);
    Instant shown = now.minus(REPORT_AGE);
    State state = history.getFirst();
    for (State each : history) {
      if (!each.at().isAfter(shown)) {
        state = each;
      }
    }
    return state;
  }

  private List<LoadedModel> loadedModels() {
    List<LoadedModel> loaded = new ArrayList<>();
    models.forEach((name, adapters) -> loaded.add(new LoadedModel(name, List.copyOf(adapters))));
    return loaded;
  }

  // Requests

  /** Returns whether a request may run: its model and adapter are loaded and not unloading. */
  boolean canServe(String model, String adapter, Instant now) {
    advanceTo(now);
    return models.containsKey(model)
        && !unloading.contains(model)
        && (adapter.isEmpty()
            || (models.get(model).contains(adapter) && !unloading.contains(model + "/" + adapter)));
  }

  /** Records the start of a request. */
  void startRequest(String model, String adapter) {
    running.merge(model, 1, Integer::sum);
    running.merge(model + "/" + adapter, 1, Integer::sum);
  }

  /** Records the end of a request. */
  void endRequest(String model, String adapter) {
    running.merge(model, -1, Integer::sum);
    running.merge(model + "/" + adapter, -1, Integer::sum);
  }

  // Control

  /** Loads a model before the simulation starts. */
  void preload(String model) {
    models.put(model, new TreeSet<>());
    disk.add(model);
    recordState(Instant.EPOCH);
  }

  Set<String> disk() {
    return Set.copyOf(disk);
  }
}
