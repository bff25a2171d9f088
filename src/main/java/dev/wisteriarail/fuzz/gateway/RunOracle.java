package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Finds the cause of each request that ended without its answer, and reports those that a node
 * ended although a sound runner would have answered in time.
 *
 * <p>The silence of a runner is no reason to end an answer. An attempt may be cancelled once
 * another attempt for the request makes progress. The runs of cancelled attempts go on at the fake
 * runners, so that this class knows when each of them would have ended.
 *
 * <p>Life cycle: one per run; {@link #judge} at its end. Not thread-safe.
 */
final class RunOracle {

  /** Time after a stop request until which a request may be cut by the end of its node. */
  private static final Duration EXCUSED_AFTER_STOP = Duration.ofSeconds(3);

  /**
   * The last part of the grace period, in which a run at work excuses a cut, is one in this many.
   */
  private static final int LAST_PART_OF_GRACE_ONE_IN = 6;

  /** Time after a configuration during which long requests are not counted. */
  private static final Duration CHANGE_PERIOD = Duration.ofSeconds(3);

  /** Tenths of its time after which a request is not counted beside a configuration. */
  private static final int LONG_REQUEST_TENTHS = 7;

  private final Map<String, Map<Integer, Attempt>> attemptsByRequest = new HashMap<>();
  private final Map<Integer, List<Stop>> stopsByNode = new HashMap<>();
  private final List<Instant> changes = new ArrayList<>();

  /** Why a request ended without its answer. */
  enum Cause {
    /** The node ended it although a sound runner would have answered in time; a violation. */
    NODE_DECISION,
    /** The node took it late during its drain and ended with it; a violation. */
    LATE_AT_NODE_END,
    /** The node ended and the runner was still at work. */
    NODE_END,
    DEADLINE,
    /** A runner broke off, failed or never answered. */
    RUNNER,
    /** It had used most of its time when a configuration was published. */
    LONG_BESIDE_CHANGE,
    /** No sound runner worked on it. */
    NO_SOUND_RUN
  }

  /**
   * A request that ended without its answer.
   *
   * @param outcome how it ended
   */
  record UnansweredRequest(
      String id, int node, Instant sentAt, Instant deadline, Instant endedAt, String outcome) {}

  // What runners see

  /**
   * Records that a runner begins to work on an attempt.
   *
   * @param sound whether the runner will answer unless it crashes
   */
  void beginRun(String request, int attempt, boolean sound, Instant now) {
    Attempt begun = attempt(request, attempt);
    begun.startedAt = now;
    begun.sound = sound;
  }

  /** Records that a runner completed its answer, whether or not a node still receives it. */
  void completeRun(String request, int attempt, Instant now) {
    attempt(request, attempt).completedAt = now;
  }

  // What nodes see and do

  /** Records that a node received a part of the answer. */
  void recordProgress(String request, int attempt, Instant now) {
    attempt(request, attempt).lastProgressAt = now;
  }

  /** Records that a node received a failure from a runner. */
  void recordFailure(String request, int attempt) {
    attempt(request, attempt).failed = true;
  }

  /** Records that a node cancelled an attempt; only the first time counts. */
  void recordCancel(String request, int attempt, Instant now) {
    if (!request.isEmpty()) {
      Attempt cancelled = attempt(request, attempt);
      cancelled.cancelledAt = earlier(cancelled.cancelledAt, now);
    }
  }

  /** Records that a node that was asked to stop has ended. */
  void recordStop(int node, Instant requestedAt, Instant endedAt) {
    stopsByNode
        .computeIfAbsent(node, number -> new ArrayList<>())
        .add(new Stop(requestedAt, endedAt));
  }

  /** Records that a configuration was published. */
  void recordChange(Instant now) {
    changes.add(now);
  }

  private Attempt attempt(String request, int attempt) {
    return attemptsByRequest
        .computeIfAbsent(request, id -> new TreeMap<>())
        .computeIfAbsent(attempt, number -> new Attempt());
  }

  // Verdict

  /**
   * Returns the number of unanswered requests by cause.
   *
   * @param violations receives the violations
   */
  Map<Cause, Integer> judge(List<UnansweredRequest> unanswered, List<Violation> violations) {
    Map<Cause, Integer> causes = new TreeMap<>();
    for (UnansweredRequest request : unanswered) {
      Cause cause = cause(request);
      causes.merge(cause, 1, Integer::sum);
      String detail = request + ", attempts " + attempts(request);
      if (cause == Cause.NODE_DECISION) {
        violations.add(new Violation("silence", request.endedAt(), detail));
      } else if (cause == Cause.LATE_AT_NODE_END) {
        violations.add(new Violation("late-request", request.endedAt(), detail));
      }
    }
    return causes;
  }

  private Cause cause(UnansweredRequest request) {
    Optional<Stop> stop = stopOf(request);
    List<Attempt> leftRuns =
        attempts(request).stream().filter(run -> isLeft(run, request)).toList();
    boolean atNodeEnd = stop.filter(each -> each.endedAt.equals(request.endedAt())).isPresent();
    boolean late = stop.filter(each -> each.isLate(request.sentAt())).isPresent();
    boolean atDeadline = !request.endedAt().isBefore(request.deadline());
    if (atNodeEnd && late && !atDeadline && !leftRuns.isEmpty()) {
      return Cause.LATE_AT_NODE_END;
    }
    Instant mustEndBy =
        stop.map(Stop::lastPartBegins)
            .filter(limit -> limit.isBefore(request.deadline()))
            .orElse(request.deadline());
    if (leftRuns.stream().anyMatch(run -> run.completedAt.isBefore(mustEndBy))) {
      return isLongBesideChange(request, stop.isPresent())
          ? Cause.LONG_BESIDE_CHANGE
          : Cause.NODE_DECISION;
    }
    if (atDeadline) {
      return Cause.DEADLINE;
    }
    if (atNodeEnd) {
      return Cause.NODE_END;
    }
    boolean runnerFailed =
        attempts(request).stream().anyMatch(each -> each.failed || (each.ran() && !each.sound));
    return runnerFailed ? Cause.RUNNER : leftRuns.isEmpty() ? Cause.NO_SOUND_RUN : Cause.DEADLINE;
  }

  private List<Attempt> attempts(UnansweredRequest request) {
    return List.copyOf(attemptsByRequest.getOrDefault(request.id(), Map.of()).values());
  }

  private Optional<Stop> stopOf(UnansweredRequest request) {
    return stopsByNode.getOrDefault(request.node(), List.of()).stream()
        .filter(stop -> !request.endedAt().isBefore(stop.requestedAt))
        .filter(stop -> !request.endedAt().isAfter(stop.endedAt))
        .findFirst();
  }

  /** Returns whether a node left a run of a sound runner, and no other attempt took over. */
  private boolean isLeft(Attempt run, UnansweredRequest request) {
    Instant leftAt = earlier(run.cancelledAt, request.endedAt());
    boolean tookOver =
        attempts(request).stream()
            .anyMatch(other -> other != run && other.lastProgressAt.isAfter(run.startedAt));
    return run.ran() && run.sound && !run.failed && run.completedAt.isAfter(leftAt) && !tookOver;
  }

  private boolean isLongBesideChange(UnansweredRequest request, boolean stopping) {
    Duration time = Duration.between(request.sentAt(), request.deadline());
    Duration used = Duration.between(request.sentAt(), request.endedAt());
    boolean isLong = used.compareTo(time.multipliedBy(LONG_REQUEST_TENTHS).dividedBy(10)) >= 0;
    boolean besideChange =
        changes.stream()
            .anyMatch(
                change ->
                    !request.endedAt().isBefore(change)
                        && request.endedAt().isBefore(change.plus(CHANGE_PERIOD)));
    return isLong && besideChange && !stopping;
  }

  private static Instant earlier(Instant a, Instant b) {
    return a.isBefore(b) ? a : b;
  }

  /** The stop of a node. */
  private record Stop(Instant requestedAt, Instant endedAt) {

    boolean isLate(Instant sentAt) {
      return sentAt.isAfter(requestedAt.plus(EXCUSED_AFTER_STOP));
    }

    Instant lastPartBegins() {
      Duration grace = GatewayFuzzDeployment.GRACE;
      return requestedAt.plus(grace).minus(grace.dividedBy(LAST_PART_OF_GRACE_ONE_IN));
    }
  }

  /** The observed state of an attempt. */
  private static final class Attempt {

    private Instant startedAt = Instant.MAX;
    private Instant completedAt = Instant.MAX;
    private Instant cancelledAt = Instant.MAX;
    private Instant lastProgressAt = Instant.MIN;
    private boolean sound;
    private boolean failed;

    boolean ran() {
      return !startedAt.equals(Instant.MAX);
    }

    @Override
    public String toString() {
      return "[%s run from %s to %s, cancelled %s, last progress %s%s]"
          .formatted(
              sound ? "sound" : "faulty",
              startedAt,
              completedAt,
              cancelledAt,
              lastProgressAt,
              failed ? ", failed" : "");
    }
  }
}
