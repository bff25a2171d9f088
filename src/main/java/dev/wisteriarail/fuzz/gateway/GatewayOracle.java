package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.fuzz.oracle.Violation;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the behavior of the nodes as callers, runners and operators observe it. docs/PROMISES.md
 * lists the checks. Not thread-safe.
 */
final class GatewayOracle {

  /** Outcome of a request whose complete answer was relayed. */
  static final String SERVED = "served";

  /** Outcome of a request that got the failure of its runner. */
  static final String RELAYED = "answer passed on";

  /** Outcome of a request whose answer had started and was cut off. */
  static final String CUT = "cut";

  /** Statuses of refusals that state that the request did not run and will not run. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Time after its deadline by which a request must have an outcome. */
  private static final Duration OUTCOME_SLACK = Duration.ofMillis(500);

  /** After the faults, at least one in this many requests must be served. */
  private static final int MIN_SERVED_ONE_IN = 4;

  /** Time after a runner's pause request during which requests may still be in transit. */
  private static final Duration PAUSE_GRACE = Duration.ofMillis(500);

  /** Requests that a node may send to a runner during its pause by the platform's rules. */
  private static final int MAX_REQUESTS_IN_PAUSE = 2;

  /** Prefix of the last name of a request that crashes runners, followed by its trait. */
  static final String CRASHING = "crashing-";

  /** Requests with one trait that may reach runners after {@link #CRASH_SETTLING_TIME}. */
  private static final int MAX_CRASHING_REQUESTS = 3;

  /** Time after the last crash that counts, in which requests may still reach runners. */
  private static final Duration CRASH_SETTLING_TIME = Duration.ofSeconds(3);

  /** Crashes by one trait after which requests with it are to be kept from runners. */
  private static final Map<String, Integer> CRASHES_ALLOWED = Map.of("content", 3, "part", 5);

  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  private final Map<String, RequestState> requests = new TreeMap<>();
  private final Map<String, List<Instant>> requestTimes = new HashMap<>();
  private final Map<String, List<Instant>> retryTimes = new HashMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final Set<NotificationKey> leavingRunners = new HashSet<>();
  private final Map<NotificationKey, Pause> requestedPauses = new HashMap<>();
  private final Map<String, List<Instant>> crashTimes = new HashMap<>();
  private final Map<String, Integer> lateCrashingRequests = new HashMap<>();
  private final RunOracle runs = new RunOracle();
  private int streamsCutByDrain;

  void reportViolation(String check, String detail, Instant now) {
    violations.add(new Violation(check, now, detail));
  }

  // What callers see

  void recordRequest(String id, RouteSpec route, int node, Instant now) {
    RequestState request = new RequestState(route, node, now);
    requests.put(id, request);
    requestTimes.computeIfAbsent(request.service(), name -> new ArrayList<>()).add(now);
  }

  /** Records that a node refused a request. */
  void recordRefusal(String id, ResultCode code, Instant now) {
    if (!recordOutcome(id, code.label(), now)) {
      return;
    }
    RequestState request = requests.get(id);
    int status = code.httpStatus();
    if (code == ResultCode.CRASHING_REQUEST && crashingTrait(id).isEmpty()) {
      reportViolation("sound-refused", id + " is sound and was refused as crashing", now);
    }
    boolean denied = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
    if (denied && !NOT_RUN.contains(status) && !GatewayFuzzDeployment.isAdded(request.route)) {
      reportViolation("denied", id + " is valid and was refused with " + code, now);
    }
    request.reportedNotRun = NOT_RUN.contains(status);
    checkNotRunClaim(id, request, now);
  }

  /**
   * Records the outcome of a request: served, cut or refused.
   *
   * <p>A core may refuse a request that was served a moment before and whose result has not reached
   * it yet. The adapter drops that second outcome, as it completes each exchange once.
   *
   * @return whether the caller sees this outcome
   */
  boolean recordOutcome(String id, String outcome, Instant now) {
    RequestState request = requests.get(id);
    if (request.ended) {
      if (!request.outcome.equals(SERVED)) {
        reportViolation(
            "one-ending", id + " ended with " + request.outcome + " and again: " + outcome, now);
      }
      return false;
    }
    request.ended = true;
    request.outcome = outcome;
    request.endedAt = now;
    request.judged = request.outcomeRequired;
    outcomes.merge(outcome, 1, Integer::sum);
    return true;
  }

  /** Records that a request needs no outcome: its caller disconnected. */
  void waiveOutcome(String id) {
    requests.get(id).outcomeRequired = false;
  }

  /**
   * Records that a node completed its drain; each of its requests must have an outcome by then.
   *
   * @param unfinished requests without an outcome
   */
  void endNode(int node, List<String> unfinished, Instant drainRequestedAt, Instant now) {
    for (String id : unfinished) {
      reportViolation("final-answer", id + " has no outcome when n" + node + " ends", now);
      RequestState request = requests.get(id);
      request.judged = request.outcomeRequired;
      request.endedAt = now;
    }
    runs.recordStop(node, drainRequestedAt, now);
    streamsCutByDrain +=
        (int)
            requests.values().stream()
                .filter(request -> request.node == node && request.route.streaming())
                .filter(request -> !request.sentAt.isBefore(drainRequestedAt))
                .filter(request -> request.outcome.equals(CUT) && request.endedAt.equals(now))
                .count();
    waiveOutcomesOfNode(node);
  }

  /** Records that the open requests of a node need no outcome. */
  void waiveOutcomesOfNode(int node) {
    requests.values().stream()
        .filter(request -> request.node == node)
        .forEach(r -> r.outcomeRequired = false);
  }

  // What runners see

  void recordArrival(String id, Instant now) {
    RequestState request = requests.get(id);
    request.arrivals++;
    if (request.arrivals > 1) {
      retryTimes.computeIfAbsent(request.service(), name -> new ArrayList<>()).add(now);
      checkBudget(request.service(), now);
    }
  }

  /** Records a notification that a node received from a runner. */
  void recordNotification(
      int node, long incarnation, RunnerRun runner, RunnerNotification notification, Instant now) {
    NotificationKey key = new NotificationKey(node, incarnation, runner);
    switch (notification) {
      case RunnerNotification.Leaving leaves -> leavingRunners.add(key);
      case RunnerNotification.RetryAfter pauses -> {
        BigDecimal millis = new BigDecimal(pauses.seconds()).movePointRight(3);
        requestedPauses.put(
            key, new Pause(now.plus(PAUSE_GRACE), now.plusMillis(millis.longValue())));
      }
    }
  }

  /** Checks that a node which sends to a runner respects the notifications it received from it. */
  void checkNotifications(int node, long incarnation, FakeBackend backend, Instant now) {
    NotificationKey key =
        new NotificationKey(node, incarnation, new RunnerRun(backend.id(), backend.bornMillis()));
    if (leavingRunners.contains(key)) {
      reportViolation(
          "leaving-word", "n" + node + " sent to " + backend.id() + " that is leaving", now);
    }
    Pause pause = requestedPauses.get(key);
    boolean within = pause != null && now.isAfter(pause.from) && now.isBefore(pause.until);
    if (within && ++pause.sent > MAX_REQUESTS_IN_PAUSE) {
      reportViolation("pause", "n" + node + " sent to " + backend.id() + " in its pause", now);
    }
  }

  /** Returns the trait by which a request crashes runners, or an empty string. */
  private static String crashingTrait(String id) {
    int at = id.indexOf(CRASHING);
    return at < 0 ? "" : id.substring(at + CRASHING.length());
  }

  /** Records that a runner crashed on a request. */
  void recordCrash(String id, Instant now) {
    if (!id.isEmpty()) {
      crashTimes.computeIfAbsent(crashingTrait(id), trait -> new ArrayList<>()).add(now);
    }
  }

  /** Checks that requests that crash runners are kept from them after some crashes. */
  void recordCrashingArrival(String id, boolean nodeCalm, Instant now) {
    String trait = crashingTrait(id);
    if (trait.isEmpty()) {
      return;
    }
    List<Instant> times = crashTimes.getOrDefault(trait, List.of());
    int allowed = CRASHES_ALLOWED.get(trait);
    boolean late =
        times.size() >= allowed
            && requests.get(id).sentAt.isAfter(times.get(allowed - 1).plus(CRASH_SETTLING_TIME));
    if (late
        && nodeCalm
        && lateCrashingRequests.merge(trait, 1, Integer::sum) > MAX_CRASHING_REQUESTS) {
      reportViolation("crashing-request", id + " reaches a runner after " + times, now);
    }
  }

  void recordRun(String id, String runner, Instant now) {
    RequestState request = requests.get(id);
    request.runs++;
    if (request.runs > 1 && !request.route.repeatable()) {
      reportViolation("at-most-once", id + " ran again on " + runner, now);
    }
    checkNotRunClaim(id, request, now);
  }

  private void checkNotRunClaim(String id, RequestState request, Instant now) {
    if (request.reportedNotRun && request.runs > 0 && !request.route.repeatable()) {
      reportViolation("not-run", id + " ran although it was refused as not run", now);
    }
  }

  private void checkBudget(String service, Instant now) {
    RetryLimits limits = GatewayFuzzDeployment.RETRIES;
    Instant since = now.minus(limits.window());
    int sent = count(retryTimes, service, since, now);
    int recent = count(requestTimes, service, since, now);
    int before = count(requestTimes, service, since.minus(limits.window()), since);
    double allowed = limits.ratio() * Math.max(recent, before) + limits.slack();
    if (sent > allowed) {
      reportViolation(
          "retry-budget", service + " got " + sent + " retries, allowed " + allowed, now);
    }
  }

  private static int count(
      Map<String, List<Instant>> times, String service, Instant after, Instant until) {
    return (int)
        times.getOrDefault(service, List.of()).stream()
            .filter(time -> time.isAfter(after) && !time.isAfter(until))
            .count();
  }

  // Progress

  /** Reports requests that have no outcome after their deadline. */
  void checkDeadlines(Instant now) {
    requests.forEach(
        (id, request) -> {
          if (request.outcomeRequired
              && !request.ended
              && now.isAfter(request.deadline.plus(OUTCOME_SLACK))) {
            request.outcomeRequired = false;
            reportViolation("one-ending", id + " has no outcome after its deadline", now);
          }
        });
  }

  /**
   * Checks that each node serves a quarter of the requests of each kind, as the platform requires.
   *
   * @param since requests sent earlier do not count
   */
  void checkRecovery(Instant since, Instant now) {
    Map<String, List<String>> outcomesByGroup = new TreeMap<>();
    Map<String, Integer> served = new HashMap<>();
    requests.forEach(
        (id, request) -> {
          if (!request.sentAt.isBefore(since) && request.ended) {
            String group = request.route.name() + " at n" + request.node;
            outcomesByGroup.computeIfAbsent(group, name -> new ArrayList<>()).add(request.outcome);
            served.merge(group, request.runs > 0 && !request.reportedNotRun ? 1 : 0, Integer::sum);
          }
        });
    outcomesByGroup.forEach(
        (group, outcomesOfGroup) -> {
          if (served.get(group) * MIN_SERVED_ONE_IN < outcomesOfGroup.size()) {
            reportViolation("recovery", group + " is served too rarely: " + outcomesOfGroup, now);
          }
        });
  }

  /**
   * Finds the causes of the requests that ended without an answer, and reports those that a sound
   * runner would have answered in time. Requests at nodes that were killed or paused do not count.
   *
   * @return the number of such requests by cause
   */
  Map<RunOracle.Cause, Integer> judgeUnanswered() {
    List<RunOracle.UnansweredRequest> unanswered = new ArrayList<>();
    requests.forEach(
        (id, request) -> {
          if (request.judged
              && !request.outcome.equals(SERVED)
              && !request.outcome.equals(RELAYED)
              && request.runs > 0) {
            unanswered.add(
                new RunOracle.UnansweredRequest(
                    id,
                    request.node,
                    request.sentAt,
                    request.deadline,
                    request.endedAt,
                    request.outcome));
          }
        });
    Map<RunOracle.Cause, Integer> causes = runs.judge(unanswered, violations);
    violations.sort(Comparator.comparing(Violation::at));
    return causes;
  }

  // Accessors

  RunOracle runs() {
    return runs;
  }

  int requestCount() {
    return requests.size();
  }

  /** Returns the number of streams that nodes accepted while draining and cut when they stopped. */
  int streamsCutByDrain() {
    return streamsCutByDrain;
  }

  Map<String, Integer> outcomes() {
    return outcomes;
  }

  List<Violation> violations() {
    return violations;
  }

  /** An incarnation of a node and an incarnation of a runner that notified it. */
  private record NotificationKey(int node, long nodeIncarnation, RunnerRun runner) {}

  /** A pause that a runner requested, and the requests sent to it since. */
  private static final class Pause {

    private final Instant from;
    private final Instant until;
    private int sent;

    Pause(Instant from, Instant until) {
      this.from = from;
      this.until = until;
    }
  }

  /** The observed state of a request. */
  private static final class RequestState {

    private final RouteSpec route;
    private final int node;
    private final Instant sentAt;
    private final Instant deadline;
    private int arrivals;
    private int runs;
    private boolean ended;
    private Instant endedAt = Instant.MAX;
    private String outcome = "open";
    private boolean reportedNotRun;
    private boolean outcomeRequired = true;
    private boolean judged;

    RequestState(RouteSpec route, int node, Instant askedAt) {
      this.route = route;
      this.node = node;
      this.sentAt = askedAt;
      deadline = askedAt.plus(route.timeout());
    }

    String service() {
      return route.shares().getFirst().service();
    }
  }
}
