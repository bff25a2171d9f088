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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks what callers, runners and the operator see of the nodes. docs/PROMISES.md names the
 * checks. Not thread-safe.
 */
final class GatewayOracle {

  /** How a request ends whose answer was passed on whole. */
  static final String SERVED = "served";

  /** How a request ends whose answer had begun and broke off. */
  static final String CUT = "cut";

  /** Refusals that say that the request did not run and will not. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Time after its deadline in which a request must have ended. */
  private static final Duration OUTCOME_SLACK = Duration.ofMillis(500);

  /** One request in this many has to be served once the faults are over. */
  private static final int MIN_SERVED_ONE_IN = 4;

  /** Time after a runner asked for a pause in which requests may still be on the way to it. */
  private static final Duration PAUSE_GRACE = Duration.ofMillis(500);

  /** Requests of one node to a runner in its pause that the platform's rules allow. */
  private static final int MAX_REQUESTS_IN_PAUSE = 2;

  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  private final Map<String, RequestState> requests = new TreeMap<>();
  private final Map<String, List<Instant>> requestTimes = new HashMap<>();
  private final Map<String, List<Instant>> retryTimes = new HashMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final Set<NotificationKey> leavingRunners = new HashSet<>();
  private final Map<NotificationKey, Pause> requestedPauses = new HashMap<>();
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

  /** A request ended without an answer of a runner. */
  void recordRefusal(String id, ResultCode code, Instant now) {
    if (!recordOutcome(id, code.label(), now)) {
      return;
    }
    RequestState request = requests.get(id);
    int status = code.httpStatus();
    boolean denied = status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR;
    if (denied && !NOT_RUN.contains(status) && !GatewayFuzzDeployment.isAdded(request.route)) {
      reportViolation("denied", id + " is proper and got " + code, now);
    }
    request.reportedNotRun = NOT_RUN.contains(status);
    checkNotRunClaim(id, request, now);
  }

  /**
   * A request ended with an answer, or its answer was cut.
   *
   * <p>A core may end what was served a moment ago and it was not told of yet; the adapter drops
   * that, as a caller's exchange is ended once.
   *
   * @return whether the caller sees this ending
   */
  boolean recordOutcome(String id, String how, Instant now) {
    RequestState request = requests.get(id);
    if (request.ended) {
      if (!request.outcome.equals(SERVED)) {
        reportViolation(
            "one-ending", id + " ended with " + request.outcome + " and again: " + how, now);
      }
      return false;
    }
    request.ended = true;
    request.outcome = how;
    request.endedAt = now;
    outcomes.merge(how, 1, Integer::sum);
    return true;
  }

  /** A caller left, or its node ended: no ending is owed any more. */
  void waiveOutcome(String id) {
    requests.get(id).outcomeRequired = false;
  }

  /**
   * A node ended by itself: each request that it took has its ending by then.
   *
   * @param unended requests without one
   */
  void endNode(int node, List<String> unended, Instant stoppedSince, Instant now) {
    unended.forEach(
        id -> reportViolation("final-answer", id + " has no ending when n" + node + " ends", now));
    streamsCutByDrain +=
        (int)
            requests.values().stream()
                .filter(request -> request.node == node && request.route.streaming())
                .filter(request -> !request.sentAt.isBefore(stoppedSince))
                .filter(request -> request.outcome.equals(CUT) && request.endedAt.equals(now))
                .count();
    waiveOutcomesOfNode(node);
  }

  /** Releases the open requests of a node that ended. */
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

  /** A runner told a node something of itself. */
  void recordNotification(
      int node, long run, RunnerRun runner, RunnerNotification word, Instant now) {
    NotificationKey told = new NotificationKey(node, run, runner);
    switch (word) {
      case RunnerNotification.Leaving leaves -> leavingRunners.add(told);
      case RunnerNotification.RetryAfter pauses -> {
        BigDecimal millis = new BigDecimal(pauses.seconds()).movePointRight(3);
        requestedPauses.put(
            told, new Pause(now.plus(PAUSE_GRACE), now.plusMillis(millis.longValue())));
      }
    }
  }

  /** A node sends a request to a runner: it must have heeded what the runner told it. */
  void checkNotifications(int node, long run, FakeBackend backend, Instant now) {
    NotificationKey told =
        new NotificationKey(node, run, new RunnerRun(backend.id(), backend.bornMillis()));
    if (leavingRunners.contains(told)) {
      reportViolation(
          "leaving-word", "n" + node + " sent to " + backend.id() + " that leaves", now);
    }
    Pause pause = requestedPauses.get(told);
    boolean within = pause != null && now.isAfter(pause.from) && now.isBefore(pause.until);
    if (within && ++pause.sent > MAX_REQUESTS_IN_PAUSE) {
      reportViolation("pause", "n" + node + " sent to " + backend.id() + " in its pause", now);
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
      reportViolation("not-run", id + " was said not to have run", now);
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
          "retry-budget", service + " got " + sent + " repeats, allowed " + allowed, now);
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

  /** Looks for requests whose time has passed. */
  void checkDeadlines(Instant now) {
    requests.forEach(
        (id, request) -> {
          if (request.outcomeRequired
              && !request.ended
              && now.isAfter(request.deadline.plus(OUTCOME_SLACK))) {
            request.outcomeRequired = false;
            reportViolation("one-ending", id + " has no ending after its deadline", now);
          }
        });
  }

  /**
   * Checks that each node serves a quarter of the requests of each kind: the platform's rule.
   *
   * @param since requests before that do not count
   */
  void checkRecovery(Instant since, Instant now) {
    Map<String, List<String>> ends = new TreeMap<>();
    Map<String, Integer> served = new HashMap<>();
    requests.forEach(
        (id, request) -> {
          if (!request.sentAt.isBefore(since) && request.ended) {
            String group = request.route.name() + " at n" + request.node;
            ends.computeIfAbsent(group, name -> new ArrayList<>()).add(request.outcome);
            served.merge(group, request.runs > 0 && !request.reportedNotRun ? 1 : 0, Integer::sum);
          }
        });
    ends.forEach(
        (group, hows) -> {
          if (served.get(group) * MIN_SERVED_ONE_IN < hows.size()) {
            reportViolation("recovery", group + " is served too seldom: " + hows, now);
          }
        });
  }

  // Accessors

  int requestCount() {
    return requests.size();
  }

  /** Returns how many streams a node took while it stopped, and cut when it ended. */
  int streamsCutByDrain() {
    return streamsCutByDrain;
  }

  Map<String, Integer> outcomes() {
    return outcomes;
  }

  List<Violation> violations() {
    return violations;
  }

  /** What one run of a node was told by one run of a runner. */
  private record NotificationKey(int node, long nodeIncarnation, RunnerRun runner) {}

  /** A pause that a runner asked a node for. */
  private static final class Pause {

    private final Instant from;
    private final Instant until;
    private int sent;

    Pause(Instant from, Instant until) {
      this.from = from;
      this.until = until;
    }
  }

  /** One request. */
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
