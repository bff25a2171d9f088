package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses the runner for a request among those that can run it now.
 *
 * <p>Takes the runner with the least load: its last report, corrected by the node's own attempts.
 * Stateless and thread-safe.
 */
public final class Router {

  private Router() {}

  /** Returns the router. */
  public static Router create() {
    return new Router();
  }

  /** Returns where to run a request now, or nothing where no runner has a free slot for it. */
  public Optional<Route> choose(
      InboundRequest request,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> routable) {
    return switch (request.target()) {
      case Target.ModelTarget target -> chooseReplica(target, configuration, runners, routable);
      case Target.ServiceTarget target -> chooseServer(target, configuration, runners);
    };
  }

  private Optional<Route> chooseReplica(
      Target.ModelTarget target,
      Configuration configuration,
      RunnerTable runners,
      Predicate<ReplicaId> routable) {
    return runners.readyReplicas(target.model()).stream()
        .filter(ready -> routable.test(ready.status().replica()))
        .filter(ready -> isVersionInForce(ready, configuration))
        .filter(ready -> hasSlot(ready.runner(), configuration, runners))
        .min(Comparator.comparingInt(ready -> load(ready.runner(), runners)))
        .map(ready -> new Route(ready.runner(), Optional.of(ready.status().replica())));
  }

  private Optional<Route> chooseServer(
      Target.ServiceTarget target, Configuration configuration, RunnerTable runners) {
    ServiceSpec service = configuration.services().get(target.service());
    if (service == null) {
      return Optional.empty();
    }
    return service.runners().stream()
        .filter(runners::isUsable)
        .filter(runner -> hasSlot(runner, configuration, runners))
        .min(Comparator.comparingInt(runner -> load(runner, runners)))
        .map(runner -> new Route(runner, Optional.empty()));
  }

  // Helpers

  /** Waiting requests are served by the version in force; those in flight finish on theirs. */
  private static boolean isVersionInForce(ReadyReplica ready, Configuration configuration) {
    ModelSpec model = configuration.models().get(ready.status().model());
    return model != null && model.version().equals(ready.status().version());
  }

  private static boolean hasSlot(
      RunnerId runner, Configuration configuration, RunnerTable runners) {
    RunnerSpec spec = configuration.runners().get(runner);
    return spec != null && runners.ownAttempts(runner) < spec.slots();
  }

  private static int load(RunnerId runner, RunnerTable runners) {
    int reported =
        runners
            .report(runner)
            .map(report -> report.activeRequests() + report.queuedRequests())
            .orElse(0);
    return Math.max(reported, runners.ownAttempts(runner));
  }
}
