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
 * Estimates the time until a request completes: the time until a runner has its model plus the run
 * time of requests of its route, limited by its deadline.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CompletionEstimator {

  /** Quantile of the run times that is expected of a request that may be executed again. */
  private static final double QUANTILE = 0.9;

  /** Quantile of the run times that is expected of a request that may be executed only once. */
  private static final double CAUTIOUS_QUANTILE = 0.95;

  /**
   * Time for which a sound runner may send nothing. It is added for a request that may be executed
   * only once, since no other runner can continue it.
   */
  private static final Duration SILENCE_ALLOWANCE = Duration.ofMillis(1300);

  private final RunTimes runTimes = RunTimes.create();
  private final PendingForwardTable pending;
  private final CallerAuthenticator authenticator;
  private final BiFunction<PendingForward, Instant, Optional<Duration>> startsIn;

  private CompletionEstimator(
      PendingForwardTable pending,
      CallerAuthenticator authenticator,
      BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    this.pending = pending;
    this.authenticator = authenticator;
    this.startsIn = startsIn;
  }

  /**
   * Creates an estimator without any recorded run times.
   *
   * @param pending the requests that have not completed
   * @param authenticator decides whose request it is
   * @param startsIn returns the time until a runner is expected to have the model of a request
   */
  static CompletionEstimator create(
      PendingForwardTable pending,
      CallerAuthenticator authenticator,
      BiFunction<PendingForward, Instant, Optional<Duration>> startsIn) {
    return new CompletionEstimator(pending, authenticator, startsIn);
  }

  /** Records the run time of a request that ends now, if it is at a runner. */
  void recordEnd(PendingForward forward, Instant now) {
    if (forward.state() != PendingForward.State.WAITING) {
      runTimes.add(forward.route().name(), forward.runTime(now));
    }
  }

  /** Returns the elapsed run times of the requests at runners, by route. */
  private Map<String, List<Duration>> elapsedByRoute(Instant now) {
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
  private Duration timeNeeded(
      PendingForward forward, Map<String, List<Duration>> elapsedByRoute, Instant now) {
    String route = forward.route().name();
    boolean repeatable = forward.route().repeatable();
    Duration timeLeft = forward.timeLeft(now);
    Duration expectedRunTime =
        runTimes
            .expected(
                route,
                elapsedByRoute.getOrDefault(route, List.of()),
                repeatable ? QUANTILE : CAUTIOUS_QUANTILE)
            .map(expected -> repeatable ? expected : expected.plus(SILENCE_ALLOWANCE))
            .orElse(timeLeft);
    Duration needed = startsIn.apply(forward, now).orElse(Duration.ZERO).plus(expectedRunTime);
    return needed.compareTo(timeLeft) < 0 ? needed : timeLeft;
  }

  /**
   * Returns the waiting requests that a draining node refuses, so that another node can serve them.
   * A request that may have been executed cannot be served elsewhere and is not among them.
   */
  List<PendingForward> tooLate(DrainPlan drain, Instant now) {
    List<PendingForward> waiting =
        pending.all().stream()
            .filter(forward -> forward.state() == PendingForward.State.WAITING)
            .filter(PendingForward::isUnexecuted)
            .toList();
    if (waiting.isEmpty()) {
      return waiting;
    }
    Map<String, List<Duration>> elapsed =
        drain.requiresCertainty(now) ? Map.of() : elapsedByRoute(now);
    return waiting.stream().filter(forward -> refuses(drain, forward, elapsed, now)).toList();
  }

  /** Returns whether a draining node refuses a request that arrives now. */
  boolean isTooLate(
      ForwardRequest request,
      Optional<GatewayConfiguration> configuration,
      DrainPlan drain,
      Instant now) {
    Optional<RouteSpec> route =
        configuration.flatMap(current -> current.route(request.host(), request.path()));
    if (route.isEmpty()) {
      return drain.refuses(false, Duration.ZERO, Duration.ZERO, now);
    }
    CallerAuthenticator.Decision caller =
        authenticator.decide(request, route.get(), configuration.get(), now);
    if (caller instanceof CallerAuthenticator.Decision.Refused) {
      return drain.refuses(false, Duration.ZERO, Duration.ZERO, now);
    }
    String service = RunnerPicker.chooseService(route.get(), request);
    PendingForward forward =
        PendingForward.of(request, route.get(), service, caller.tenantIfKnown(), now);
    return refuses(drain, forward, elapsedByRoute(now), now);
  }

  private boolean refuses(
      DrainPlan drain,
      PendingForward forward,
      Map<String, List<Duration>> elapsedByRoute,
      Instant now) {
    return drain.refuses(
        forward.route().streaming(),
        timeNeeded(forward, elapsedByRoute, now),
        forward.timeLeft(now),
        now);
  }
}
