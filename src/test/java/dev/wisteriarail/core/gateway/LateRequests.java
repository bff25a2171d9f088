package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Requests of all kinds that arrive at one node before and after its stop request, in virtual time.
 *
 * <p>One run in ten takes ten times as long, some runners are silent for up to 1.3 s before the
 * first byte or between two events, and some reject a request without executing it. Life cycle:
 * {@link #run} once, then the accessors. Not thread-safe.
 */
final class LateRequests {

  private static final Duration STEP = Duration.ofMillis(50);
  private static final long STEP_MILLIS = STEP.toMillis();

  /** Time of the stop request; earlier requests provide run times. */
  private static final long STOP_MILLIS = 4_000;

  /** Time after the stop request from which each accepted request must end before its node. */
  private static final long LATE_MILLIS = 3_000;

  private static final long GRACE_MILLIS = 8_000;

  /** Time after the stop request at which the node ends what is still in progress. */
  private static final long EXIT_MILLIS = 7_200;

  private static final long LOOKUP_MILLIS = 50;
  private static final long STREAM_MILLIS = 400;
  private static final long EVENT_GAP_MILLIS = 100;
  private static final List<String> ROUTES = List.of("lookup", "order", "chat", "report");
  private static final List<Duration> LIMITS =
      List.of(
          Duration.ofMillis(600),
          Duration.ofSeconds(1),
          Duration.ofSeconds(4),
          Duration.ofSeconds(5),
          Duration.ofSeconds(25));

  private final CoreHarness node;
  private final Random random;
  private final Map<Long, Sent> requests = new LinkedHashMap<>();
  private final List<Due> due = new ArrayList<>();
  private long now;
  private boolean drained;

  private LateRequests(CoreHarness node, long seed) {
    this.node = node;
    random = new Random(seed);
  }

  static LateRequests create(CoreHarness node, long seed) {
    return new LateRequests(node, seed);
  }

  /** Sends requests until the end of the grace period, or until the node has drained. */
  void run() {
    node.configure(Duration.ofSeconds(25));
    node.take(GatewayEffect.class);
    for (now = 0; now < STOP_MILLIS + GRACE_MILLIS && !drained; now += STEP_MILLIS) {
      if (now == STOP_MILLIS) {
        node.handle(new GatewayEvent.DrainRequested());
      }
      deliverDue();
      for (String route : ROUTES) {
        boolean stream = route.equals("chat") || route.equals("report");
        if (now % (stream ? 200 : 100) == 0) {
          Duration limit = LIMITS.get(random.nextInt(LIMITS.size()));
          long exchange = node.arrive(route, limit);
          requests.put(exchange, new Sent(route, limit, now));
          accept(node.take(GatewayEffect.class));
        }
      }
      node.pass(STEP);
      accept(node.take(GatewayEffect.class));
    }
  }

  private void deliverDue() {
    List<Due> ready = due.stream().filter(each -> each.at <= now).toList();
    due.removeAll(ready);
    for (Due each : ready) {
      Sent request = requests.get(each.exchange);
      if (!request.liveAttempts.contains(each.attempt)) {
        continue;
      }
      if (each.result instanceof AttemptResult.Finished) {
        request.end("answered", now);
      }
      if (!(each.result instanceof AttemptResult.Started
          || each.result instanceof AttemptResult.Progressed)) {
        request.liveAttempts.remove(each.attempt);
      }
      node.updateAttempt(each.exchange, each.attempt, each.result);
      accept(node.take(GatewayEffect.class));
    }
  }

  private void accept(List<GatewayEffect> effects) {
    for (GatewayEffect effect : effects) {
      switch (effect) {
        case GatewayEffect.SendAttempt send -> serve(send);
        case GatewayEffect.CancelAttempt cancel -> {
          Sent request = requests.get(cancel.exchange());
          request.cancelledAt = request.liveAttempts.remove(cancel.attempt()) ? now : -1;
        }
        case GatewayEffect.Refuse refuse ->
            requests.get(refuse.exchange()).end(refuse.code().name(), now);
        case GatewayEffect.AbortAnswer abort -> requests.get(abort.exchange()).end("aborted", now);
        case GatewayEffect.DrainCompleted completed -> {
          drained = true;
          boolean byExit = now + STEP_MILLIS >= STOP_MILLIS + EXIT_MILLIS;
          requests.values().forEach(each -> each.endedByExit = byExit && each.endedAt == now);
        }
        default -> {}
      }
    }
  }

  /** Schedules the progress and the result of one attempt. */
  private void serve(GatewayEffect.SendAttempt send) {
    Sent request = requests.get(send.exchange());
    request.liveAttempts.add(send.attempt());
    if (random.nextInt(10) == 0) {
      add(send, STEP_MILLIS, new AttemptResult.Answered(503, true, false));
      return;
    }
    request.ran = true;
    long runTime = send.streaming() ? STREAM_MILLIS : LOOKUP_MILLIS;
    runTime *= random.nextInt(10) == 0 ? 10 : 1;
    boolean silent = random.nextInt(5) == 0;
    long silence = silent ? 1_000 + random.nextInt(7) * STEP_MILLIS : 0;
    if (send.streaming()) {
      boolean beforeFirst = random.nextBoolean();
      long at = STEP_MILLIS + (beforeFirst ? silence : 0);
      add(send, at, new AttemptResult.Started());
      at += beforeFirst ? 0 : silence;
      for (long event = 0; event < runTime; event += EVENT_GAP_MILLIS) {
        at += EVENT_GAP_MILLIS;
        add(send, at, new AttemptResult.Progressed());
      }
    }
    add(send, STEP_MILLIS + runTime + silence, new AttemptResult.Finished(200));
  }

  private void add(GatewayEffect.SendAttempt send, long afterMillis, AttemptResult result) {
    due.add(new Due(now + afterMillis, send.exchange(), send.attempt(), result));
  }

  // Results

  /** Returns the requests without exactly one ending. */
  List<String> unended() {
    return select(request -> request.endings.size() != 1);
  }

  /** Returns the requests that were refused as not executed, although they were executed. */
  List<String> refusedAlthoughRun() {
    return select(
        request ->
            request.ran
                && request.endings.stream()
                    .anyMatch(
                        ending ->
                            !ending.equals("answered")
                                && !ending.equals("aborted")
                                && ResultCode.valueOf(ending).httpStatus() == 503));
  }

  /** Returns the requests that the exit of the node ended and that no runner was serving. */
  List<String> endedByExitWithoutRunner() {
    return select(request -> request.isCutByExit() && request.cancelledAt != request.endedAt);
  }

  /** Returns the late requests that were ended by the exit of the node. */
  List<String> takenLateAndEndedByExit() {
    return select(request -> request.isLate() && request.isCutByExit());
  }

  long takenLateAndAnswered() {
    return requests.values().stream()
        .filter(request -> request.isLate() && request.endings.contains("answered"))
        .count();
  }

  private List<String> select(Predicate<Sent> condition) {
    return requests.values().stream().filter(condition).map(Sent::toString).toList();
  }

  private record Due(long at, long exchange, int attempt, AttemptResult result) {}

  /** One request and its endings. */
  private static final class Sent {

    private final String route;
    private final Duration limit;
    private final long arrivedAt;
    private final Set<Integer> liveAttempts = new HashSet<>();
    private final List<String> endings = new ArrayList<>();
    private long endedAt = -1;
    private boolean ran;
    private long cancelledAt = -1;
    private boolean endedByExit;

    Sent(String route, Duration limit, long arrivedAt) {
      this.route = route;
      this.limit = limit;
      this.arrivedAt = arrivedAt;
    }

    private void end(String ending, long at) {
      endings.add(ending);
      endedAt = at;
    }

    @Override
    public String toString() {
      return "%s limit %d at %d: %s at %d"
          .formatted(
              route, limit.toMillis(), arrivedAt - STOP_MILLIS, endings, endedAt - STOP_MILLIS);
    }

    private boolean isLate() {
      return arrivedAt > STOP_MILLIS + LATE_MILLIS;
    }

    private boolean isCutByExit() {
      return endedByExit
          && (endings.contains("aborted") || endings.contains(ResultCode.OUTCOME_UNKNOWN.name()));
    }
  }
}
