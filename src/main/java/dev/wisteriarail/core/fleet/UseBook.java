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
 * Where the requests of all nodes run, merged from the nodes' reports.
 *
 * <p>Not thread-safe.
 */
final class UseBook {

  private final Map<String, NodeUses> reports = new TreeMap<>();

  /** The merged reports; empty while they have to be merged anew. */
  private Optional<Map<String, Load>> merged = Optional.empty();

  /** Takes a node's report. */
  void accept(String node, List<RunnerUse> uses, Instant now) {
    reports.put(node, new NodeUses(List.copyOf(uses), now));
    merged = Optional.empty();
  }

  /** Drops the reports of nodes that were not heard since. */
  void forgetBefore(Instant oldest) {
    if (reports.values().removeIf(report -> report.at().isBefore(oldest))) {
      merged = Optional.empty();
    }
  }

  /** Returns the requests that run on each runner, by runner. */
  Map<String, Load> loads() {
    if (merged.isEmpty()) {
      merged = Optional.of(merge());
    }
    return merged.get();
  }

  private Map<String, Load> merge() {
    Map<String, Load> loads = new HashMap<>();
    for (NodeUses report : reports.values()) {
      for (RunnerUse use : report.uses()) {
        Load load = loads.computeIfAbsent(use.runner(), runner -> new Load());
        load.byModel.merge(use.model(), use.running(), Integer::sum);
        load.running += use.running();
        load.tokens += use.tokens();
        if (!use.adapter().isEmpty()) {
          load.adapters.add(use.model() + "/" + use.adapter());
        }
      }
    }
    return loads;
  }

  private record NodeUses(List<RunnerUse> uses, Instant at) {}

  /** Requests on one runner. */
  static final class Load {

    private final Map<String, Integer> byModel = new HashMap<>();
    private final Set<String> adapters = new HashSet<>();
    private int running;
    private long tokens;

    Map<String, Integer> byModel() {
      return byModel;
    }

    Set<String> adapters() {
      return adapters;
    }

    int running() {
      return running;
    }

    long tokens() {
      return tokens;
    }
  }
}
