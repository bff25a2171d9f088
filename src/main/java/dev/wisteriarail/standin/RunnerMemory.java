package dev.wisteriarail.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The models and adapters that a stand-in engine holds, loads, or unloads once no request uses
 * them.
 *
 * <p>Life cycle: one per incarnation of a runner. Not thread-safe; its runner guards it.
 */
final class RunnerMemory {

  private static final long LOAD_MILLIS = 120;
  private static final long LARGE_LOAD_MILLIS = 4_000;

  /** Load time of an adapter. */
  private static final long ADAPTER_LOAD_MILLIS = 8;

  /** Load time of an adapter for each {@link #ORDERS_PER_SLOW_ADAPTER_LOAD}th order. */
  private static final long SLOW_ADAPTER_LOAD_MILLIS = 700;

  private static final int ORDERS_PER_SLOW_ADAPTER_LOAD = 4;

  private final Map<String, Set<String>> models = new TreeMap<>();
  private final Map<String, Long> incoming = new TreeMap<>();
  private final Map<String, Integer> runningByModel = new TreeMap<>();
  private final Set<String> unloadingAdapters = new TreeSet<>();
  private final Set<String> modelsOnDisk = new TreeSet<>();
  private final List<String> invalidOrders;
  private long orderCount;
  private long busyUntilNanos;
  private String loadingModel = "";

  /**
   * Creates the memory of an engine.
   *
   * @param loadedModels models that are loaded at the start
   * @param invalidOrders receives descriptions of orders that exceed the memory
   */
  RunnerMemory(List<String> loadedModels, List<String> invalidOrders) {
    this.invalidOrders = invalidOrders;
    for (String model : loadedModels) {
      models.put(model, new TreeSet<>());
      modelsOnDisk.add(model);
    }
  }

  // Orders

  /**
   * Handles an order.
   *
   * @param adapter the adapter; null for an order about the whole model
   * @return HTTP status of the reply
   */
  int acceptOrder(String model, String adapter, boolean isLoad) {
    orderCount++;
    if (adapter != null) {
      return isLoad ? loadAdapter(model, adapter) : unloadAdapter(model, adapter);
    }
    if (isLoad) {
      models.putIfAbsent(model, new TreeSet<>());
      modelsOnDisk.add(model);
      loadingModel = model;
      busyUntilNanos = System.nanoTime() + loadMillis(model) * 1_000_000;
      checkCapacity();
    } else {
      models.remove(model);
      incoming.keySet().removeIf(name -> name.startsWith(model + "/"));
    }
    return 202;
  }

  private static long loadMillis(String model) {
    boolean large = Integer.parseInt(model.substring(1)) >= PlatformStandin.FIRST_LARGE_MODEL;
    return large ? LARGE_LOAD_MILLIS : LOAD_MILLIS;
  }

  private int loadAdapter(String model, String adapter) {
    completeAdapterLoads();
    String name = model + "/" + adapter;
    unloadingAdapters.remove(name);
    if (models.getOrDefault(model, Set.of()).contains(adapter) || !models.containsKey(model)) {
      return 200;
    }
    boolean slow = orderCount % ORDERS_PER_SLOW_ADAPTER_LOAD == 0;
    long millis = slow ? SLOW_ADAPTER_LOAD_MILLIS : ADAPTER_LOAD_MILLIS;
    incoming.putIfAbsent(name, System.nanoTime() + millis * 1_000_000);
    checkCapacity();
    return 202;
  }

  /** Unloads an adapter at once, or after the last request that uses it has ended. */
  private int unloadAdapter(String model, String adapter) {
    completeAdapterLoads();
    String name = model + "/" + adapter;
    if (runningByModel.getOrDefault(name, 0) > 0) {
      unloadingAdapters.add(name);
      return 202;
    }
    models.getOrDefault(model, new TreeSet<>()).remove(adapter);
    return 200;
  }

  private void completeAdapterLoads() {
    long now = System.nanoTime();
    for (String name : List.copyOf(incoming.keySet())) {
      if (now - incoming.get(name) >= 0) {
        incoming.remove(name);
        int slash = name.indexOf('/');
        models
            .getOrDefault(name.substring(0, slash), new TreeSet<>())
            .add(name.substring(slash + 1));
      }
    }
  }

  private void checkCapacity() {
    if (models.size() > RunnerStandin.MODEL_CAPACITY) {
      invalidOrders.add("ordered to hold " + models.keySet());
    }
    int adapters = incoming.size() + models.values().stream().mapToInt(Set::size).sum();
    if (adapters > RunnerStandin.ADAPTER_SLOTS) {
      invalidOrders.add("ordered to hold " + adapters + " adapters");
    }
  }

  // Requests

  /** Returns whether a model, or an adapter of one, is loaded and not about to be unloaded. */
  boolean isLoaded(String modelHeader) {
    completeAdapterLoads();
    int slash = modelHeader.indexOf('/');
    String model = slash < 0 ? modelHeader : modelHeader.substring(0, slash);
    return !isLoading(model)
        && models.containsKey(model)
        && !unloadingAdapters.contains(modelHeader)
        && (slash < 0 || models.get(model).contains(modelHeader.substring(slash + 1)));
  }

  void beginRequest(String modelHeader) {
    runningByModel.merge(modelHeader, 1, Integer::sum);
  }

  void finishRequest(String modelHeader) {
    if (runningByModel.merge(modelHeader, -1, Integer::sum) == 0
        && unloadingAdapters.remove(modelHeader)) {
      unloadAdapter(
          modelHeader.substring(0, modelHeader.indexOf('/')),
          modelHeader.substring(modelHeader.indexOf('/') + 1));
    }
  }

  // Accessors

  /** Returns the part of a directory entry or report that describes the memory. */
  Map<String, Object> description() {
    completeAdapterLoads();
    List<Map<String, Object>> loadedModels = new ArrayList<>();
    models.forEach(
        (name, adapters) -> {
          if (!isLoading(name)) {
            loadedModels.add(Map.of("name", name, "version", 1, "adapters", List.copyOf(adapters)));
          }
        });
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("models", loadedModels);
    description.put(
        "available", Map.of("in_memory", List.of(), "on_disk", List.copyOf(modelsOnDisk)));
    return description;
  }

  boolean isBusy() {
    return System.nanoTime() < busyUntilNanos;
  }

  private boolean isLoading(String model) {
    return isBusy() && model.equals(loadingModel);
  }

  /** Returns the names of the adapters in transit, with their models. */
  List<String> incoming() {
    return List.copyOf(incoming.keySet());
  }

  /** Returns the number of accepted orders. */
  long orderCount() {
    return orderCount;
  }

  /** Returns the models that are loaded or loading. */
  Set<String> models() {
    return Set.copyOf(models.keySet());
  }
}
