package dev.wisteriarail.soak;

import dev.wisteriarail.standin.RunnerStandin;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Checks the promises of docs/PROMISES.md against the answers that callers received and the
 * requests that runners executed. Stateless.
 */
final class SoakOracle {

  /** Statuses of refusals that guarantee that the request did not run and will not run. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /**
   * Time after which a node must have read a complete request and has to answer it: ten times the
   * users' {@code loss_slack_ms}, because nodes and callers share a busy machine.
   */
  private static final Duration LOSS_SLACK = Duration.ofSeconds(2);

  private static final int OK = 200;
  private static final int FIRST_NON_SUCCESS = 300;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Crashes of runners after which requests of the kind that caused them are to be refused. */
  private static final int CRASHES_ALLOWED = 5;

  /** Minimum time between the orders of two nodes to one runner; the users' {@code lease_ms}. */
  static final Duration LEASE_TIME = Duration.ofSeconds(3);

  /** Time after the opening of a link in which orders that arrive are not judged. */
  private static final Duration THAW_TIME = Duration.ofMillis(300);

  /** Time after the last of these crashes in which such requests may still reach runners. */
  private static final Duration CRASH_SETTLING_TIME = Duration.ofSeconds(3);

  /** Such requests that may reach runners after that. */
  private static final int MAX_LATE_CRASHING_REQUESTS = 3;

  private SoakOracle() {}

  /**
   * Returns the broken promises, one line each.
   *
   * @param outcomes outcomes of the requests of all callers
   * @param runners all runners, including ended ones
   * @param planType type of the plan, which decides which requests may be lost
   * @param stops when nodes got SIGTERM
   * @param stall longest stall of the callers' process
   */
  static List<String> violations(
      List<SoakCallers.Outcome> outcomes,
      List<RunnerStandin> runners,
      SoakPlan.PlanType planType,
      PlannedStops stops,
      Duration stall) {
    List<String> violations = new ArrayList<>();
    Map<String, Integer> runs = new HashMap<>();
    for (RunnerStandin runner : runners) {
      runner.executedRequests().forEach(id -> runs.merge(id, 1, Integer::sum));
      runner
          .invalidOrders()
          .forEach(order -> violations.add("ORDERS " + runner.id() + ": " + order));
    }
    checkCrashingRequests(runners.stream().map(RunnerStandin::crashingArrivals).toList())
        .ifPresent(violations::add);
    Set<String> sent = new HashSet<>();
    for (SoakCallers.Outcome outcome : outcomes) {
      sent.add(outcome.id());
      int count = runs.getOrDefault(outcome.id(), 0);
      check(outcome, count, violations);
      boolean excused =
          count > 0
              && outcome
                  .cut()
                  .filter(
                      cut ->
                          stops.excuses(
                              cut.address(),
                              cut.sentAt(),
                              cut.cutAt(),
                              workEndedAt(outcome.id(), runners)))
                  .isPresent();
      if (outcome.status() == SoakCallers.Outcome.NO_ANSWER && !excused) {
        checkLost(outcome, count, planType, LOSS_SLACK.plus(stall)).ifPresent(violations::add);
      }
    }
    runs.keySet().stream()
        .filter(id -> !sent.contains(id))
        .forEach(id -> violations.add("UNASKED " + id + " ran and no caller sent it"));
    return violations;
  }

  /**
   * Checks that requests that crash runners are kept from them after some crashes.
   *
   * @param arrivalsByRunner when such requests began to run on each runner, in nanoseconds; the
   *     first one crashes the runner
   */
  static Optional<String> checkCrashingRequests(List<List<Long>> arrivalsByRunner) {
    List<Long> crashes =
        arrivalsByRunner.stream().flatMap(arrivals -> arrivals.stream().limit(1)).sorted().toList();
    if (crashes.size() < CRASHES_ALLOWED) {
      return Optional.empty();
    }
    long settled = crashes.get(CRASHES_ALLOWED - 1) + CRASH_SETTLING_TIME.toNanos();
    long late =
        arrivalsByRunner.stream()
            .flatMap(List::stream)
            .filter(arrival -> arrival - settled > 0)
            .count();
    return late > MAX_LATE_CRASHING_REQUESTS
        ? Optional.of("BUDGET " + late + " requests crashed runners after " + crashes.size())
        : Optional.empty();
  }

  /**
   * Checks the orders to runners that check no fencing numbers: none under a lower fencing number
   * after a higher one, and no orders of two holders within {@link #LEASE_TIME}.
   *
   * @param orders the orders to all runners
   * @param openings when links opened, in nanoseconds
   */
  static List<String> checkOrders(List<RunnerStandin.OrderArrival> orders, List<Long> openings) {
    List<String> violations = new ArrayList<>();
    Map<String, RunnerStandin.OrderArrival> highest = new HashMap<>();
    Map<String, RunnerStandin.OrderArrival> last = new HashMap<>();
    List<RunnerStandin.OrderArrival> judged =
        orders.stream()
            .filter(order -> openings.stream().noneMatch(opening -> isThawed(order, opening)))
            .sorted(Comparator.comparingLong(RunnerStandin.OrderArrival::nanos))
            .toList();
    for (RunnerStandin.OrderArrival order : judged) {
      RunnerStandin.OrderArrival higher = highest.getOrDefault(order.runner(), order);
      if (order.fence() < higher.fence()) {
        violations.add("ORDERS a lower fencing number: " + order + " after " + higher);
      } else {
        highest.put(order.runner(), order);
      }
      RunnerStandin.OrderArrival before = last.getOrDefault(order.runner(), order);
      if (!before.holder().equals(order.holder())
          && order.nanos() - before.nanos() < LEASE_TIME.toNanos()) {
        violations.add("ORDERS two holders: " + order + " after " + before);
      }
      last.put(order.runner(), order);
    }
    return violations;
  }

  private static boolean isThawed(RunnerStandin.OrderArrival order, long opening) {
    long after = order.nanos() - opening;
    return after >= 0 && after <= THAW_TIME.toNanos();
  }

  /**
   * Returns the number of requests without a complete answer by cause: whether they ran, and what
   * their caller saw.
   */
  static Map<String, Integer> causes(
      List<SoakCallers.Outcome> outcomes, List<RunnerStandin> runners) {
    Set<String> executed = new HashSet<>();
    runners.forEach(runner -> executed.addAll(runner.executedRequests()));
    Map<String, Integer> causes = new HashMap<>();
    for (SoakCallers.Outcome outcome : outcomes) {
      if (outcome.status() == SoakCallers.Outcome.NO_ANSWER) {
        String prefix = executed.contains(outcome.id()) ? "ran, " : "did not run, ";
        causes.merge(prefix + outcome.body().split("@", 2)[0], 1, Integer::sum);
      }
    }
    return causes;
  }

  private static void check(SoakCallers.Outcome outcome, int runs, List<String> violations) {
    String request = outcome.id() + " (" + outcome.kind() + ")";
    boolean atMostOnce = !outcome.kind().isRepeatable();
    if (atMostOnce && runs > 1) {
      violations.add("TWICE " + request + " ran " + runs + " times");
    }
    if (atMostOnce && runs > 0 && NOT_EXECUTED_STATUSES.contains(outcome.status())) {
      violations.add("REFUSED " + request + " was refused with " + outcome.status() + " and ran");
    }
    if (outcome.status() == OK && !outcome.body().equals(expectedBody(outcome))) {
      violations.add("MIXED " + request + " got another body: " + outcome.body());
    }
    boolean unjustifiedRefusal =
        outcome.status() >= FIRST_NON_SUCCESS
            && outcome.status() < FIRST_SERVER_ERROR
            && !NOT_EXECUTED_STATUSES.contains(outcome.status());
    if (unjustifiedRefusal) {
      violations.add("DENIED " + request + " was proper and got " + outcome.status());
    }
  }

  private static OptionalLong workEndedAt(String id, List<RunnerStandin> runners) {
    return runners.stream()
        .map(runner -> runner.workEndTimes().get(id))
        .filter(Objects::nonNull)
        .mapToLong(Long::longValue)
        .max();
  }

  private static Optional<String> checkLost(
      SoakCallers.Outcome outcome, int runs, SoakPlan.PlanType planType, Duration slack) {
    String request = "LOST " + outcome.id() + " (" + outcome.kind() + ")";
    if (planType == SoakPlan.PlanType.PLANNED && runs > 0) {
      return Optional.of(request + " ran and got no answer: " + outcome.body());
    }
    boolean excused =
        planType == SoakPlan.PlanType.FAULTS
            || planType == SoakPlan.PlanType.CRASHING_REQUESTS
            || planType == SoakPlan.PlanType.UNCHECKED_FENCES;
    if (!excused && outcome.closedAfter().compareTo(slack) > 0) {
      return Optional.of(request + " got no byte in " + outcome.closedAfter().toMillis() + " ms");
    }
    return Optional.empty();
  }

  private static String expectedBody(SoakCallers.Outcome outcome) {
    return outcome.kind().isStream()
        ? RunnerStandin.completeStream(outcome.id())
        : RunnerStandin.plainAnswer(outcome.id());
  }
}
