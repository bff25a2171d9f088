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
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Chooses the runner for a request among those that can run it now.
 *
 * <p>A runner has room while the node's own attempts leave a slot free and the load, as far as it
 * is known, does not exceed the slots by more than half. On a runner that several customers share,
 * none may take the last quarter of the slots, and no batch request may.
 *
 * <p>Among those with room it takes the one with the lowest cost: the share of busy slots, and
 * surcharges for a missing adapter and for another failure domain. Stateless and thread-safe.
 */
public final class Router {

  private static final double ADAPTER_MISSING = 0.25;
  private static final double OTHER_DOMAIN = 0.05;
  private static final int RESERVED_SHARE = 4;

  private final FailureDomain domain;

  private Router(FailureDomain domain) {
    this.domain = domain;
  }

  /** Returns the router of a node in a failure domain. */
  public static Router create(FailureDomain domain) {
    return new Router(domain);
  }

  /** Returns where to run a request now, or nothing where no runner has room for it. */
  public Optional<Route> choose(
      RouteRequest wanted,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> routable) {
    return switch (wanted.request().target()) {
      case Target.ModelTarget target ->
          chooseReplica(wanted, target, configuration, runners, routable);
      case Target.ServiceTarget target -> chooseServer(wanted, target, configuration, runners);
    };
  }

  private Optional<Route> chooseReplica(
      RouteRequest wanted,
      Target.ModelTarget target,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> routable) {
    return runners.readyReplicas(target.model()).stream()
        .filter(ready -> routable.test(ready.status().replica()))
        .filter(ready -> isVersionInForce(ready, configuration))
        .filter(ready -> wanted.allowed().test(ready.runner()))
        .filter(ready -> hasRoom(ready.runner(), wanted, configuration, runners))
        .min(Comparator.comparingDouble(ready -> cost(ready, target, configuration, runners)))
        .map(ready -> new Route(ready.runner(), Optional.of(ready.status().replica())));
  }

  private Optional<Route> chooseServer(
      RouteRequest wanted,
      Target.ServiceTarget target,
      Configuration configuration,
      RunnerTable runners) {
    ServiceSpec service = configuration.services().get(target.service());
    Stream<RunnerId> servers = service == null ? Stream.empty() : service.runners().stream();
    return servers
        .filter(runners::isUsable)
        .filter(wanted.allowed())
        .filter(runner -> hasRoom(runner, wanted, configuration, runners))
        .min(Comparator.comparingDouble(runner -> loadCost(runner, configuration, runners)))
        .map(runner -> new Route(runner, Optional.empty()));
  }

  // Costs

  /** Waiting requests are served by the version in force; those in flight finish on theirs. */
  private static boolean isVersionInForce(ReadyReplica ready, Configuration configuration) {
    ModelSpec model = configuration.models().get(ready.status().model());
    return model != null && model.version().equals(ready.status().version());
  }

  private double cost(
      ReadyReplica ready,
      Target.ModelTarget target,
      Configuration configuration,
      RunnerTable runners) {
    boolean adapterMissing =
        target
            .adapter()
            .filter(adapter -> !ready.status().adapters().contains(adapter))
            .isPresent();
    return loadCost(ready.runner(), configuration, runners)
        + (adapterMissing ? ADAPTER_MISSING : 0);
  }

  private double loadCost(RunnerId runner, Configuration configuration, RunnerTable runners) {
    RunnerSpec spec = configuration.runners().get(runner);
    double busy = (double) runners.load(runner) / Math.max(1, spec.slots());
    return busy + (spec.failureDomain().equals(domain) ? 0 : OTHER_DOMAIN);
  }

  // Room

  private static boolean hasRoom(
      RunnerId runner, RouteRequest wanted, Configuration configuration, RunnerTable runners) {
    RunnerSpec spec = configuration.runners().get(runner);
    if (spec == null) {
      return false;
    }
    int slots = spec.slots();
    int reserved = slots > 1 ? Math.max(1, slots / RESERVED_SHARE) : 0;
    int own = runners.ownAttempts(runner);
    if (own >= slots || runners.load(runner) >= slots + Math.max(1, slots / 2)) {
      return false;
    }
    if (wanted.urgency() == Urgency.BATCH && own >= slots - reserved) {
      return false;
    }
    CustomerId customer = wanted.request().customer();
    return runners.ownAttempts(runner, customer) < slots - reserved
        || !isShared(spec, customer, configuration, runners);
  }

  private static boolean isShared(
      RunnerSpec spec, CustomerId customer, Configuration configuration, RunnerTable runners) {
    if (spec.role() == RunnerRole.APPLICATION) {
      return configuration.customers().size() > 1;
    }
    return runners.report(spec.id()).stream()
        .flatMap(report -> report.replicas().stream())
        .map(ReplicaStatus::model)
        .map(configuration.models()::get)
        .anyMatch(model -> isOfOther(model, customer));
  }

  private static boolean isOfOther(ModelSpec model, CustomerId customer) {
    return model != null && !model.customer().equals(customer);
  }
}
