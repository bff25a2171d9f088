package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.CheckpointLocation;
import dev.wisteriarail.core.config.CheckpointTier;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.RunnerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the runner with the lowest cost for a load. The cost is the sum of the load time from the
 * model's checkpoint tier on the runner, the wait for memory to become free, a surcharge if the
 * failure domain already has a replica, and the expected cold starts of the evicted replicas.
 *
 * <p>Stateless.
 */
final class RunnerSelector {

  /** Time until the memory of an unloaded replica is free. */
  private static final double FREEING_SECONDS = 0.5;

  /** Surcharge for a runner in a failure domain that already has a replica of the model. */
  private static final double SAME_DOMAIN_SECONDS = 2;

  /**
   * A runner that can hold the model.
   *
   * @param runner the runner
   * @param tier the checkpoint tier that it would load from
   * @param victims replicas to unload first
   * @param waitsForMemory whether the load has to wait until memory is freed
   * @param costSeconds the cost in seconds
   * @param freeBytes free memory of the runner in bytes, to break ties
   */
  record Candidate(
      RunnerId runner,
      CheckpointTier tier,
      List<PlacedReplica> victims,
      boolean waitsForMemory,
      double costSeconds,
      long freeBytes) {}

  private RunnerSelector() {}

  /** Returns the best runner, or empty if no runner can free enough memory. */
  static Optional<Candidate> choose(
      ModelSpec model, PlanningRound round, KeepAlivePolicy residency) {
    Map<RunnerId, CheckpointTier> tiers = tiersByRunner(model);
    Set<FailureDomain> occupiedDomains = occupiedDomains(model, round);
    Candidate best = null;
    for (RunnerId runner : round.runners().keySet()) {
      CheckpointTier tier = tiers.getOrDefault(runner, CheckpointTier.REMOTE);
      double cost = model.loadTimes().of(tier).toMillis() / 1_000.0;
      if (occupiedDomains.contains(round.configuration().runners().get(runner).failureDomain())) {
        cost += SAME_DOMAIN_SECONDS;
      }
      if (best != null && cost > best.costSeconds()) {
        continue;
      }
      Candidate candidate = candidate(model, runner, tier, cost, round, residency);
      if (candidate != null && (best == null || isBetter(candidate, best))) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  private static Candidate candidate(
      ModelSpec model,
      RunnerId runner,
      CheckpointTier tier,
      double cost,
      PlanningRound round,
      KeepAlivePolicy residency) {
    long freeBytes = round.freeBytes(runner);
    if (freeBytes >= model.memoryBytes()) {
      return new Candidate(runner, tier, List.of(), false, cost, freeBytes);
    }
    long missingBytes = model.memoryBytes() - freeBytes - round.freeingBytes(runner);
    double costWithWait = cost + FREEING_SECONDS;
    if (missingBytes <= 0) {
      return new Candidate(runner, tier, List.of(), true, costWithWait, freeBytes);
    }
    List<PlacedReplica> victims = new ArrayList<>();
    double evictionCost = 0;
    for (PlacedReplica idle : idleByEvictionCost(runner, round, residency)) {
      if (missingBytes <= 0) {
        break;
      }
      victims.add(idle);
      missingBytes -= idle.bytes();
      evictionCost += evictionSeconds(idle, round, residency);
    }
    return missingBytes <= 0
        ? new Candidate(runner, tier, victims, true, costWithWait + evictionCost, freeBytes)
        : null;
  }

  // Helpers

  private static boolean isBetter(Candidate candidate, Candidate best) {
    int byCost = Double.compare(candidate.costSeconds(), best.costSeconds());
    return byCost < 0 || (byCost == 0 && candidate.freeBytes() > best.freeBytes());
  }

  private static List<PlacedReplica> idleByEvictionCost(
      RunnerId runner, PlanningRound round, KeepAlivePolicy residency) {
    return round.replicasOn(runner).stream()
        .filter(round::isIdle)
        .sorted(
            Comparator.comparingDouble(
                    (PlacedReplica idle) -> evictionSeconds(idle, round, residency) / idle.bytes())
                .thenComparing(PlacedReplica::replica))
        .toList();
  }

  private static double evictionSeconds(
      PlacedReplica idle, PlanningRound round, KeepAlivePolicy residency) {
    ModelSpec model = round.configuration().models().get(idle.model());
    return model == null ? 0 : residency.evictionCostSeconds(idle, model, round);
  }

  private static Map<RunnerId, CheckpointTier> tiersByRunner(ModelSpec model) {
    Map<RunnerId, CheckpointTier> tiers = new HashMap<>();
    for (CheckpointLocation location : model.checkpoints()) {
      tiers.merge(
          location.runner(), location.tier(), (one, two) -> one.compareTo(two) <= 0 ? one : two);
    }
    return tiers;
  }

  private static Set<FailureDomain> occupiedDomains(ModelSpec model, PlanningRound round) {
    Set<FailureDomain> domains = new HashSet<>();
    for (PlacedReplica replica : round.replicas(model.id())) {
      if (round.configuration().runners().containsKey(replica.runner())) {
        domains.add(round.configuration().runners().get(replica.runner()).failureDomain());
      }
    }
    return domains;
  }
}
