package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Input of the planner for one service.
 *
 * @param spec the engines and models of the service
 * @param engines the engines that may receive requests
 * @param demands demand for each model with recent, waiting or running requests, by model name
 * @param adapterDemands adapters that requests are waiting for
 * @param storeLoads loads from the weight store in progress
 * @param storeLoadLimit limit for concurrent loads from the weight store
 * @param storeLoadAllowed whether the rate limit of the weight store allows another load now
 * @param leavingModels models that leaving runners hold
 */
public record PlanInput(
    EngineSpec spec,
    List<Engine> engines,
    Map<String, DemandSummary> demands,
    List<AdapterDemand> adapterDemands,
    int storeLoads,
    int storeLoadLimit,
    boolean storeLoadAllowed,
    Set<String> leavingModels) {

  /**
   * An engine.
   *
   * @param runner its runner
   * @param domain its failure domain
   * @param free whether it accepts an order now
   * @param models the models that it holds, with their adapters, including adapters being loaded
   * @param occupancy the models that occupy capacity, with the adapters that do; includes those
   *     that were unloaded and may still be in use
   * @param loading the model that is being loaded; empty if none
   * @param loadingSource the source of that load
   * @param loadingRemainingMillis time until that load is complete, in milliseconds
   * @param inHostMemory models whose weights its host memory holds
   * @param onDisk models whose weights its disk holds
   * @param running running requests, by model
   * @param adaptersInUse adapters that requests use, named {@code model/adapter}
   * @param idleAdapters adapters that were not used recently, the least recently used first, named
   *     in the same form
   */
  public record Engine(
      String runner,
      String domain,
      boolean free,
      Map<String, Set<String>> models,
      Map<String, Set<String>> occupancy,
      String loading,
      LoadSource loadingSource,
      long loadingRemainingMillis,
      Set<String> inHostMemory,
      Set<String> onDisk,
      Map<String, Integer> running,
      Set<String> adaptersInUse,
      List<String> idleAdapters) {

    /** Returns the number of all running requests. */
    public int totalRunning() {
      return running.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the source from which the weights of a model would be loaded. */
    public LoadSource source(String model) {
      if (inHostMemory.contains(model)) {
        return LoadSource.MEMORY;
      }
      return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
    }
  }

  /**
   * Demand for a model.
   *
   * @param waiting requests that wait for it
   * @param worth their value, including callers that were asked to retry
   * @param leastLeftMillis shortest time that one of them can still wait, in milliseconds
   * @param perSecond arrivals per second
   * @param running requests that run on it, over all engines
   */
  public record DemandSummary(
      int waiting, double worth, long leastLeftMillis, double perSecond, int running) {

    /** Demand for a model that is not requested. */
    public static final DemandSummary NONE = new DemandSummary(0, 0, Long.MAX_VALUE, 0, 0);
  }

  /**
   * Requests that wait for an adapter.
   *
   * @param model the model
   * @param adapter the adapter
   * @param waiting number of waiting requests
   * @param leastLeftMillis shortest time that one of them can still wait, in milliseconds
   */
  public record AdapterDemand(String model, String adapter, int waiting, long leastLeftMillis) {}

  /** Returns the demand for a model. */
  public DemandSummary demand(String model) {
    return demands.getOrDefault(model, DemandSummary.NONE);
  }
}
