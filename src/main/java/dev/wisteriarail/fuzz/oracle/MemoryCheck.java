package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/** Checks that accelerator memory is never overcommitted. */
final class MemoryCheck implements Check {

  private final Map<RunnerId, Long> sizes = new TreeMap<>();
  private final Map<RunnerId, Map<ReplicaId, Long>> held = new TreeMap<>();

  @Override
  public String name() {
    return "memory";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RunnerSeen seen -> sizes.put(seen.runner(), seen.memoryBytes());
      case Observation.ReplicaHeld replicaHeld -> {
        Map<ReplicaId, Long> replicas =
            held.computeIfAbsent(replicaHeld.runner(), id -> new TreeMap<>());
        replicas.put(replicaHeld.replica(), replicaHeld.bytes());
        long used = replicas.values().stream().mapToLong(Long::longValue).sum();
        if (used > sizes.getOrDefault(replicaHeld.runner(), 0L)) {
          reporter.report(
              replicaHeld.runner() + " holds " + used + " bytes in " + replicas.keySet());
        }
      }
      case Observation.ReplicaFreed freed ->
          held.computeIfAbsent(freed.runner(), id -> new TreeMap<>()).remove(freed.replica());
      default -> {}
    }
  }
}
