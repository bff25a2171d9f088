package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.peer.Demand;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the demand of a node's callers for each model, to be reported to the controller.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class DemandCounter {

  private static final Duration NO_DEADLINE = Duration.ofDays(1);

  /** The expected retry of a caller that was refused until its model can be ready. */
  private record ExpectedRetry(Urgency urgency, Instant until) {}

  private final Map<ModelId, Integer> arrivals = new TreeMap<>();
  private final Map<ModelId, ExpectedRetry> expectedRetries = new TreeMap<>();

  /** Counts the arrival of a request. */
  void recordArrival(Target target) {
    if (target instanceof Target.ModelTarget modelTarget) {
      arrivals.merge(modelTarget.model(), 1, Integer::sum);
    }
  }

  /** Records that a caller was asked to retry at a time when its idle model can be ready. */
  void expectRetry(Target target, Urgency urgency, Instant until) {
    if (target instanceof Target.ModelTarget modelTarget) {
      arrivals.merge(modelTarget.model(), 1, Integer::sum);
      expectedRetries.put(modelTarget.model(), new ExpectedRetry(urgency, until));
    }
  }

  /** Returns whether retries of refused callers are expected. */
  boolean expectsRetries() {
    return !expectedRetries.isEmpty();
  }

  /**
   * Returns the demand for each model and resets the arrival counts.
   *
   * @param waiting waiting requests in groups of one target and urgency class
   * @param inFlight number of running attempts by target
   */
  List<Demand> collect(
      Iterable<? extends Collection<PendingRequest>> waiting,
      Map<TargetKey, Integer> inFlight,
      Instant now) {
    Map<ModelId, Demand> demandByModel = new TreeMap<>();
    for (Collection<PendingRequest> group : waiting) {
      addGroup(group, demandByModel, now);
    }
    inFlight.forEach((target, count) -> addRunning(target, count, demandByModel));
    expectedRetries.values().removeIf(retry -> !now.isBefore(retry.until()));
    expectedRetries.forEach((model, retry) -> addExpected(model, retry, demandByModel, now));
    arrivals.forEach(
        (model, count) ->
            demandByModel.computeIfPresent(model, (id, demand) -> demand.withArrivals(count)));
    arrivals.clear();
    return List.copyOf(demandByModel.values());
  }

  private static void addGroup(
      Collection<PendingRequest> group, Map<ModelId, Demand> demandByModel, Instant now) {
    PendingRequest head = group.iterator().next();
    if (head.request().target() instanceof Target.ModelTarget target) {
      Duration remaining = Duration.between(now, head.deadline());
      add(
          new Demand(
              target.model(), target.adapter(), head.urgency(), group.size(), 0, 0, remaining),
          demandByModel);
    }
  }

  private static void addRunning(TargetKey target, int count, Map<ModelId, Demand> demandByModel) {
    if (!target.service() && count > 0) {
      ModelId model = ModelId.of(target.name());
      add(
          new Demand(model, Optional.empty(), Urgency.BATCH, 0, count, 0, NO_DEADLINE),
          demandByModel);
    }
  }

  private static void addExpected(
      ModelId model, ExpectedRetry retry, Map<ModelId, Demand> demandByModel, Instant now) {
    Duration remaining = Duration.between(now, retry.until());
    add(new Demand(model, Optional.empty(), retry.urgency(), 1, 0, 0, remaining), demandByModel);
  }

  private static void add(Demand demand, Map<ModelId, Demand> demandByModel) {
    demandByModel.merge(demand.model(), demand, Demand::plus);
  }
}
