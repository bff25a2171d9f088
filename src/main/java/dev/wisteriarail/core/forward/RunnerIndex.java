package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.DemandKey;
import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.RunnerEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Index of runners by service and by the models that they hold.
 *
 * <p>Many requests may wait for models that no runner holds, and each message from the coordinator
 * makes a node look up runners for all of them. With 63 runners, a scan of all of them for each
 * lookup took most of the time of the core's thread. Immutable.
 */
final class RunnerIndex {

  static final RunnerIndex EMPTY = new RunnerIndex(Map.of(), Map.of());

  private final Map<String, List<RunnerEntry>> byService;
  private final Map<DemandKey, List<RunnerEntry>> byModel;

  private RunnerIndex(
      Map<String, List<RunnerEntry>> byService, Map<DemandKey, List<RunnerEntry>> byModel) {
    this.byService = byService;
    this.byModel = byModel;
  }

  /**
   * Builds an index.
   *
   * @param runners the runners that may get requests
   * @param models returns the models that a runner holds
   */
  static RunnerIndex of(
      List<RunnerEntry> runners, Function<RunnerEntry, List<LoadedModel>> models) {
    Map<String, List<RunnerEntry>> byService = new HashMap<>();
    Map<DemandKey, List<RunnerEntry>> byModel = new HashMap<>();
    for (RunnerEntry runner : runners) {
      byService.computeIfAbsent(runner.service(), service -> new ArrayList<>()).add(runner);
      for (LoadedModel held : models.apply(runner)) {
        byModel
            .computeIfAbsent(DemandKey.of(runner.service(), held.name()), key -> new ArrayList<>())
            .add(runner);
      }
    }
    return new RunnerIndex(byService, byModel);
  }

  List<RunnerEntry> ofService(String service) {
    return byService.getOrDefault(service, List.of());
  }

  List<RunnerEntry> holders(String service, String model) {
    return byModel.getOrDefault(DemandKey.of(service, model), List.of());
  }
}
