package dev.wisteriarail.core.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Aggregates the running requests on each runner from the reports of all nodes.
 *
 * <p>Not thread-safe.
 */
final class UsageAggregator {

  private final Map<String, NodeUsage> reports = new TreeMap<>();

  /** The aggregated reports; empty if they have to be aggregated again. */
  private Optional<Map<String, RunnerLoad>> merged = Optional.empty();

  /** Handles a node's report. */
  void accept(String node, List<RunnerUse> uses, Instant now) {
    reports.put(node, new NodeUsage(List.copyOf(uses), now));
    merged = Optional.empty();
  }

  /** Removes the reports that were received before a time. */
  void removeOlderThan(Instant oldest) {
    if (reports.values().removeIf(report -> report.at().isBefore(oldest))) {
      merged = Optional.empty();
    }
  }

  /** Returns the running requests on each runner, by runner. */
  Map<String, RunnerLoad> loads() {
    if (merged.isEmpty()) {
      merged = Optional.of(merge());
    }
    return merged.get();
  }

  private Map<String, RunnerLoad> merge() {
    Map<String, RunnerLoad> loads = new HashMap<>();
    for (NodeUsage report : reports.values()) {
      for (RunnerUse use : report.uses()) {
        RunnerLoad load = loads.computeIfAbsent(use.runner(), runner -> new RunnerLoad());
        load.runningByModel.merge(use.model(), use.running(), Integer::sum);
        load.running += use.running();
        load.tokens += use.tokens();
        if (!use.adapter().isEmpty()) {
          load.adaptersInUse.add(use.model() + "/" + use.adapter());
        }
      }
    }
    return loads;
  }

  private record NodeUsage(List<RunnerUse> uses, Instant at) {}

  /** Running requests on one runner. */
  static final class RunnerLoad {

    private final Map<String, Integer> runningByModel = new HashMap<>();
    private final Set<String> adaptersInUse = new HashSet<>();
    private int running;
    private long tokens;

    Map<String, Integer> runningByModel() {
      return runningByModel;
    }

    Set<String> adaptersInUse() {
      return adaptersInUse;
    }

    int running() {
      return running;
    }

    long tokens() {
      return tokens;
    }
  }
}
