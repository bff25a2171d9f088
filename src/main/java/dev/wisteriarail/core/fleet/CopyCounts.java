package dev.wisteriarail.core.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the copies of each model on the engines of a service. The counts are computed once per
 * plan, because planning queries them for every pair of an engine and a model. Immutable.
 */
final class CopyCounts {

  private final Map<String, Integer> replicas = new HashMap<>();
  private final Map<String, Integer> copies = new HashMap<>();
  private final Set<String> cached = new HashSet<>();

  private CopyCounts() {}

  static CopyCounts count(Iterable<PlanInput.Engine> engines) {
    CopyCounts counted = new CopyCounts();
    for (PlanInput.Engine engine : engines) {
      Set<String> anywhere = new HashSet<>(engine.inHostMemory());
      anywhere.addAll(engine.onDisk());
      counted.cached.addAll(anywhere);
      anywhere.addAll(engine.models().keySet());
      anywhere.forEach(model -> counted.copies.merge(model, 1, Integer::sum));
      engine.models().keySet().forEach(model -> counted.replicas.merge(model, 1, Integer::sum));
    }
    return counted;
  }

  /** Returns how many engines serve a model. */
  int replicas(String model) {
    return replicas.getOrDefault(model, 0);
  }

  /** Returns how many engines serve a model or have its weights in host memory or on disk. */
  int copies(String model) {
    return copies.getOrDefault(model, 0);
  }

  /**
   * Returns the number of models that no engine serves and whose only cached copy is on the given
   * engine, in host memory or on disk.
   */
  int countExclusive(PlanInput.Engine engine) {
    Set<String> cachedHere = new HashSet<>(engine.inHostMemory());
    cachedHere.addAll(engine.onDisk());
    return (int)
        cachedHere.stream().filter(model -> replicas(model) == 0 && copies(model) == 1).count();
  }

  /** Returns whether any engine has a model's weights in its host memory or on its disk. */
  boolean isCached(String model) {
    return cached.contains(model);
  }
}
