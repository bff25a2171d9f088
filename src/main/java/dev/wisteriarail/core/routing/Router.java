package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.Target;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Selects a runner for a request among those that can run it now.
 *
 * <p>A runner has capacity while the node's own attempts leave a slot free and the estimated load
 * exceeds the slots by less than half. The last quarter of the slots is closed to batch requests
 * and, on a runner that several customers share, to further requests of a customer that already
 * uses all the others.
 *
 * <p>Of the runners with capacity, the router selects the one with the lowest cost: the share of
 * busy slots, plus a surcharge for another failure domain, minus a discount for the estimated share
 * of the prompt in the engine's cache if a slot is free. The node's own attempts count fully, those
 * of other nodes only in part: their number comes from delayed reports, and if all nodes relied on
 * it, all would select the same runner. Ties are broken at random.
 *
 * <p>Life cycle: one per node, with its own seeded generator. Not thread-safe.
 */
public final class Router {

  private static final double CACHED_PROMPT_DISCOUNT = 0.3;
  private static final double OTHER_DOMAIN_SURCHARGE = 0.05;
  private static final double OTHER_NODES_WEIGHT = 0.2;
  private static final int RESERVED_SLOTS_DIVISOR = 4;

  private final FailureDomain domain;
  private final SplittableRandom random;

  private Router(FailureDomain domain, long seed) {
    this.domain = domain;
    random = new SplittableRandom(seed);
  }

  /**
   * Creates the router of a node.
   *
   * @param domain the node's failure domain
   * @param seed seed of the random tie-breaking; different on each node
   */
  public static Router create(FailureDomain domain, long seed) {
    return new Router(domain, seed);
  }

  /** Returns the route of a request, or empty if no runner has capacity for it now. */
  public Optional<Route> choose(
      RouteRequest routeRequest,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> isRoutable) {
    return switch (routeRequest.request().target()) {
      case Target.ModelTarget target ->
          chooseReplica(routeRequest, target, configuration, runners, isRoutable);
      case Target.ServiceTarget target ->
          chooseRunner(routeRequest, target, configuration, runners);
    };
  }

  private Optional<Route> chooseReplica(
      RouteRequest routeRequest,
      Target.ModelTarget target,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> isRoutable) {
    List<Long> promptPrefixes = PromptPrefixHashes.of(routeRequest.request());
    List<ReadyReplica> candidates =
        runners.readyReplicas(target.model()).stream()
            .filter(ready -> isRoutable.test(ready.status().replica()))
            .filter(ready -> isVersionInForce(ready, configuration))
            .filter(ready -> hasAdapter(ready, target))
            .filter(ready -> routeRequest.runnerFilter().test(ready.runner()))
            .filter(ready -> hasCapacity(ready.runner(), routeRequest, configuration, runners))
            .toList();
    return rotateRandomly(candidates).stream()
        .min(
            Comparator.comparingDouble(
                ready -> cost(ready, promptPrefixes, configuration, runners)))
        .map(ready -> new Route(ready.runner(), Optional.of(ready.status().replica())));
  }

  private Optional<Route> chooseRunner(
      RouteRequest routeRequest,
      Target.ServiceTarget target,
      Configuration configuration,
      RunnerTable runners) {
    ServiceSpec service = configuration.services().get(target.service());
    Stream<RunnerId> servers = service == null ? Stream.empty() : service.runners().stream();
    List<RunnerId> candidates =
        servers
            .filter(runners::isUsable)
            .filter(routeRequest.runnerFilter())
            .filter(runner -> hasCapacity(runner, routeRequest, configuration, runners))
            .toList();
    return rotateRandomly(candidates).stream()
        .min(Comparator.comparingDouble(runner -> loadCost(runner, configuration, runners)))
        .map(runner -> new Route(runner, Optional.empty()));
  }

  /** Rotates the candidates by a random distance, so that ties are broken at random. */
  private <T> List<T> rotateRandomly(List<T> candidates) {
    List<T> rotated = new ArrayList<>(candidates);
    if (rotated.size() > 1) {
      Collections.rotate(rotated, random.nextInt(rotated.size()));
    }
    return rotated;
  }

  // Costs

  /**
   * Returns whether a replica runs the model version in force. Waiting requests go only to that
   * version; requests in flight finish on the version where they started.
   */
  private static boolean isVersionInForce(ReadyReplica ready, Configuration configuration) {
    ModelSpec model = configuration.models().get(ready.status().model());
    return model != null && model.version().equals(ready.status().version());
  }

  /**
   * Returns whether a replica has the requested adapter. Adapters are loaded by the controller, and
   * an engine refuses a request for one that it does not have.
   */
  private static boolean hasAdapter(ReadyReplica ready, Target.ModelTarget target) {
    return target.adapter().filter(id -> !ready.status().adapters().contains(id)).isEmpty();
  }

  private double cost(
      ReadyReplica ready,
      List<Long> promptPrefixes,
      Configuration configuration,
      RunnerTable runners) {
    double busy = loadCost(ready.runner(), configuration, runners);
    double cachedShare = busy < 1 ? runners.cachedShare(ready.runner(), promptPrefixes) : 0;
    return busy - CACHED_PROMPT_DISCOUNT * cachedShare;
  }

  private double loadCost(RunnerId runner, Configuration configuration, RunnerTable runners) {
    RunnerSpec spec = configuration.runners().get(runner);
    double busy = load(runner, runners) / Math.max(1, spec.slots());
    return busy + (spec.failureDomain().equals(domain) ? 0 : OTHER_DOMAIN_SURCHARGE);
  }

  private static double load(RunnerId runner, RunnerTable runners) {
    return runners.ownAttempts(runner) + OTHER_NODES_WEIGHT * runners.otherNodesAttempts(runner);
  }

  // Capacity

  private static boolean hasCapacity(
      RunnerId runner,
      RouteRequest routeRequest,
      Configuration configuration,
      RunnerTable runners) {
    RunnerSpec spec = configuration.runners().get(runner);
    if (spec == null) {
      return false;
    }
    int slots = spec.slots();
    int reserved = slots > 1 ? Math.max(1, slots / RESERVED_SLOTS_DIVISOR) : 0;
    int own = runners.ownAttempts(runner);
    if (own >= slots || load(runner, runners) >= slots + Math.max(1, slots / 2)) {
      return false;
    }
    if (routeRequest.urgency() == Urgency.BATCH && own >= slots - reserved) {
      return false;
    }
    CustomerId customer = routeRequest.request().customer();
    return runners.ownAttempts(runner, customer) < slots - reserved
        || !isSharedWithOtherCustomers(spec, customer, configuration, runners);
  }

  private static boolean isSharedWithOtherCustomers(
      RunnerSpec spec, CustomerId customer, Configuration configuration, RunnerTable runners) {
    if (spec.role() == RunnerRole.APPLICATION) {
      return configuration.customers().size() > 1;
    }
    return runners.report(spec.id()).stream()
        .flatMap(report -> report.replicas().stream())
        .map(ReplicaStatus::model)
        .map(configuration.models()::get)
        .anyMatch(model -> belongsToOtherCustomer(model, customer));
  }

  private static boolean belongsToOtherCustomer(ModelSpec model, CustomerId customer) {
    return model != null && !model.customer().equals(customer);
  }
}
