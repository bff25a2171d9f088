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
final class NeededTime {

  private final RunTimes runTimes = RunTimes.create();
  private final ForwardEnds pending;
  private final BiFunction<PendingForward, Instant, Optional<Duration>> startsIn;

  private NeededTime(
      ForwardEnds pending, BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    this.pending = pending;
    this.startsIn = startsIn;
  }

  /**
   * Returns an estimate that knows no run times.
   *
   * @param pending the requests that have not ended
   * @param startsIn tells when a runner is expected to have the model of a request
   */
  static NeededTime create(
      ForwardEnds pending, BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    return new NeededTime(pending, startsIn);
  }

  /** Notes how long runners had a request that ends now. */
  void noteEnd(PendingForward forward, Instant now) {
    if (forward.state() != PendingForward.State.WAITING) {
      runTimes.note(forward.route().name(), forward.ran(now));
    }
  }

  /** Returns for each route how long runners have had its requests. */
  Map<String, List<Duration>> running(Instant now) {
    Map<String, List<Duration>> times = new HashMap<>();
    for (PendingForward forward : pending.all()) {
      if (forward.state() != PendingForward.State.WAITING) {
        times
            .computeIfAbsent(forward.route().name(), name -> new ArrayList<>())
            .add(forward.ran(now));
      }
    }
    return times;
  }

  /** Returns the time that a request needs from now on. */
  Duration of(PendingForward forward, Map<String, List<Duration>> running, Instant now) {
    String route = forward.route().name();
    Duration left = forward.timeLeft(now);
    Duration runs = runTimes.expected(route, running.getOrDefault(route, List.of())).orElse(left);
    Duration needed = startsIn.apply(forward, now).orElse(Duration.ZERO).plus(runs);
    return needed.compareTo(left) < 0 ? needed : left;
  }

  /** Returns whether a request that comes now is too late for a stopping node. */
  boolean isTooLate(
      ForwardRequest request,
      Optional<GatewayConfiguration> configuration,
      DrainPlan drain,
      Instant now) {
    Optional<RouteSpec> route =
        configuration.flatMap(known -> known.route(request.host(), request.path()));
    if (route.isEmpty()) {
      return drain.refuses(false, Duration.ZERO, now);
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward = PendingForward.of(request, route.get(), service, now);
    return drain.refuses(route.get().streaming(), of(forward, running(now), now), now);
  }
}
