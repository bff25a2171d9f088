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
 * Chooses the runner for a request among those that can run it now.
 *
 * <p>A runner has room while the node's own attempts leave a slot free and the load, as far as it
 * is known, does not exceed the slots by more than half. On a runner that several customers share,
 * none may take the last quarter of the slots, and no batch request may.
 *
 * <p>Among those with room it takes the one with the lowest cost: the share of busy slots, a
 * surcharge for another failure domain, less a discount for the part of the prompt that is believed
 * to be in the engine's cache while a slot is free. The node's own attempts count whole and those
 * of others in part: their number is late, and nodes that all trusted it would all take the same
 * runner. Of equal ones it takes any.
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
   * Returns the router of a node.
   *
   * @param domain the node's failure domain
   * @param seed seed of its random choices, another one on each node
   */
  public static Router create(FailureDomain domain, long seed) {
    return new Router(domain, seed);
  }

  /** Returns where to run a request now, or nothing where no runner has room for it. */
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

  /** Returns the candidates from a random one on, so that no runner is the first of equals. */
  private <T> List<T> rotateRandomly(List<T> candidates) {
    List<T> rotated = new ArrayList<>(candidates);
    if (rotated.size() > 1) {
      Collections.rotate(rotated, random.nextInt(rotated.size()));
    }
    return rotated;
  }

  // Costs

  /** Waiting requests are served by the version in force; those in flight finish on theirs. */
  private static boolean isVersionInForce(ReadyReplica ready, Configuration configuration) {
    ModelSpec model = configuration.models().get(ready.status().model());
    return model != null && model.version().equals(ready.status().version());
  }

  /** Adapters are loaded by the controller; an engine refuses a request for one that it lacks. */
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

  // Room

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
