package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Loads a model on demand at the nearest checkpoint and unloads it after a fixed idle time.
 *
 * <p>Where no runner has room, it unloads the idle replica that was used least recently.
 */
public final class FixedTimeoutPlanner implements PlacementPlanner {

  private final Duration idleTimeout;

  private FixedTimeoutPlanner(Duration idleTimeout) {
    this.idleTimeout = idleTimeout;
  }

  /** Returns a planner that unloads a replica after the given idle time. */
  public static FixedTimeoutPlanner withTimeout(Duration idleTimeout) {
    return new FixedTimeoutPlanner(idleTimeout);
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {}

  @Override
  public List<PlacementAction> plan(PlacementView view, Instant now) {
    List<PlacementAction> actions = new ArrayList<>();
    Map<RunnerId, Long> free = new TreeMap<>(view.freeBytes());
    for (Demand demand : view.demands()) {
      if (demand.waiting() > 0 && !isPlaced(demand.model(), view)) {
        planLoad(demand.model(), view, free, now, actions);
      }
    }
    for (PlacedReplica replica : view.replicas()) {
      if (isExpired(replica, view, now)) {
        actions.add(new PlacementAction.Unload(replica.replica(), "idle for " + idleTimeout));
      }
    }
    return actions;
  }

  private void planLoad(
      ModelId model,
      PlacementView view,
      Map<RunnerId, Long> free,
      Instant now,
      List<PlacementAction> actions) {
    ModelSpec spec = view.configuration().models().get(model);
    if (spec == null) {
      return;
    }
    Optional<RunnerId> runner =
        free.entrySet().stream()
            .filter(entry -> entry.getValue() >= spec.memoryBytes())
            .map(Map.Entry::getKey)
            .min(
                Comparator.comparing((RunnerId id) -> spec.tierOn(id))
                    .thenComparingLong(id -> -free.get(id)));
    if (runner.isPresent()) {
      free.merge(runner.get(), -spec.memoryBytes(), Long::sum);
      actions.add(
          new PlacementAction.Load(
              model, runner.get(), "demand; checkpoint in " + spec.tierOn(runner.get())));
      return;
    }
    findVictim(view).ifPresent(victim -> actions.add(unloadForRoom(victim, now)));
  }

  // Helpers

  private static PlacementAction unloadForRoom(PlacedReplica victim, Instant now) {
    Duration idle = Duration.between(victim.lastUsed(), now);
    return new PlacementAction.Unload(victim.replica(), "room needed; idle for " + idle);
  }

  private static boolean isPlaced(ModelId model, PlacementView view) {
    return view.replicas().stream()
        .anyMatch(
            replica -> replica.model().equals(model) && replica.phase() != PlacedPhase.UNLOADING);
  }

  private static Optional<PlacedReplica> findVictim(PlacementView view) {
    return view.replicas().stream()
        .filter(replica -> isIdle(replica, view))
        .min(Comparator.comparing(PlacedReplica::lastUsed));
  }

  private boolean isExpired(PlacedReplica replica, PlacementView view, Instant now) {
    return isIdle(replica, view) && !now.isBefore(replica.lastUsed().plus(idleTimeout));
  }

  private static boolean isIdle(PlacedReplica replica, PlacementView view) {
    return replica.phase() == PlacedPhase.READY
        && replica.activeRequests() == 0
        && view.demands().stream().noneMatch(demand -> demand.model().equals(replica.model()));
  }
}
