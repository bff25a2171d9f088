package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the planner of one service decides from.
 *
 * @param spec the service's engines and models
 * @param engines the engines that may get requests
 * @param demands what is known of each model that is or was asked for, by name
 * @param adapterDemands requests that wait for an adapter, by model and adapter
 * @param storeLoads loads from the weight store that are under way
 * @param storeLoadLimit loads from the weight store that may be under way at a time
 * @param storeLoadAllowed whether the rate of the weight store allows another load now
 * @param leavingModels models that runners hold which leave
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
   * @param free whether it takes an order now
   * @param models the models that it holds, with their adapters and those that are on their way
   * @param occupancy the models that take room in it, with the adapters that do; they include what
   *     was unloaded and may still be in use
   * @param loading the model that is being loaded; empty text if none
   * @param loadingSource where that comes from
   * @param loadingRemainingMillis time until that is done, in milliseconds
   * @param inHostMemory models that its host memory holds
   * @param onDisk models that its disk holds
   * @param running requests that it serves, by model
   * @param adaptersInUse adapters that requests use, as model and adapter joined by a slash
   * @param idleAdapters adapters that were not used lately, the longest unused first, in the same
   *     form
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

    /** Returns all requests that it serves. */
    public int totalRunning() {
      return running.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns where the weights of a model would come from. */
    public LoadSource source(String model) {
      if (inHostMemory.contains(model)) {
        return LoadSource.MEMORY;
      }
      return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
    }
  }

  /**
   * What is wanted of a model.
   *
   * @param waiting requests that wait for it
   * @param worth their value, that of callers told to come back included
   * @param leastLeftMillis shortest time that one of them can still wait
   * @param perSecond arrivals a second
   * @param running requests that run on it, over all engines
   */
  public record DemandSummary(
      int waiting, double worth, long leastLeftMillis, double perSecond, int running) {

    /** A model that nobody asks for. */
    public static final DemandSummary NONE = new DemandSummary(0, 0, Long.MAX_VALUE, 0, 0);
  }

  /**
   * Requests that wait for an adapter.
   *
   * @param model the model
   * @param adapter the adapter
   * @param waiting their number
   * @param leastLeftMillis shortest time that one of them can still wait
   */
  public record AdapterDemand(String model, String adapter, int waiting, long leastLeftMillis) {}

  /** Returns what is wanted of a model. */
  public DemandSummary demand(String model) {
    return demands.getOrDefault(model, DemandSummary.NONE);
  }
}
