package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RunTimes;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

/**
 * The time until a request would have ended: until a runner has its model, and what requests of its
 * route take there; no longer than it may take.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CompletionEstimator {

  private final RunTimes runTimes = RunTimes.create();
  private final PendingForwardTable pending;
  private final BiFunction<PendingForward, Instant, Optional<Duration>> startsIn;

  private CompletionEstimator(
      PendingForwardTable pending,
      BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    this.pending = pending;
    this.startsIn = startsIn;
  }

  /**
   * Returns an estimate that knows no run times.
   *
   * @param pending the requests that have not ended
   * @param startsIn tells when a runner is expected to have the model of a request
   */
  static CompletionEstimator create(
      PendingForwardTable pending,
      BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    return new CompletionEstimator(pending, startsIn);
  }

  /** Notes how long runners had a request that ends now. */
  void recordEnd(PendingForward forward, Instant now) {
    if (forward.state() != PendingForward.State.WAITING) {
      runTimes.add(forward.route().name(), forward.runTime(now));
    }
  }

  /** Returns for each route how long runners have had its requests. */
  Map<String, List<Duration>> elapsedByRoute(Instant now) {
    Map<String, List<Duration>> elapsed = new HashMap<>();
    for (PendingForward forward : pending.all()) {
      if (forward.state() != PendingForward.State.WAITING) {
        elapsed
            .computeIfAbsent(forward.route().name(), name -> new ArrayList<>())
            .add(forward.runTime(now));
      }
    }
    return elapsed;
  }

  /** Returns the time that a request needs from now on. */
  Duration timeNeeded(
      PendingForward forward, Map<String, List<Duration>> elapsedByRoute, Instant now) {
    String route = forward.route().name();
    Duration timeLeft = forward.timeLeft(now);
    Duration expectedRunTime =
        runTimes.expected(route, elapsedByRoute.getOrDefault(route, List.of())).orElse(timeLeft);
    Duration needed = startsIn.apply(forward, now).orElse(Duration.ZERO).plus(expectedRunTime);
    return needed.compareTo(timeLeft) < 0 ? needed : timeLeft;
  }

  /** Returns whether a request that comes now is too late for a stopping node. */
  boolean isTooLate(
      ForwardRequest request,
      Optional<GatewayConfiguration> configuration,
      DrainPlan drain,
      Instant now) {
    Optional<RouteSpec> route =
        configuration.flatMap(current -> current.route(request.host(), request.path()));
    if (route.isEmpty()) {
      return drain.refuses(false, Duration.ZERO, now);
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, now);
    return drain.refuses(
        route.get().streaming(), timeNeeded(forward, elapsedByRoute(now), now), now);
  }
}
