package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Deadlines;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Refuses requests whose content crashes backend servers ("poison requests").
 *
 * <p>When a backend server crashes, the content of every request that was running on it becomes a
 * suspect, immediately on this node and through the log on the other nodes. A suspect runs only on
 * a runner without another suspect of this node, and only one attempt of it runs at a time. The
 * next crash therefore identifies the poison request; the others are cleared when they complete. A
 * suspected crash is retracted if the backend server turns out not to have crashed.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class PoisonGuard {

  /** A runner that reports the same incarnation after this time has not crashed. */
  private static final Duration RETRACTION_DELAY = Duration.ofSeconds(2);

  /** A suspected crash that no report of the runner has confirmed or refuted yet. */
  private record UnconfirmedCrash(RecordBody.CrashSuspected crash, Instant seenAt) {}

  private final NodeSettings settings;
  private final CrashHistory crashHistory = new CrashHistory();
  private final Map<RunnerId, Integer> suspectCountByRunner = new TreeMap<>();
  private final Map<PendingRequest, RunnerId> runnerBySuspect = new LinkedHashMap<>();
  private final List<UnconfirmedCrash> unconfirmedCrashes = new ArrayList<>();
  private final Map<RecordBody, Instant> unconfirmedAppends = new LinkedHashMap<>();
  private boolean logDown;
  private long sequence;

  private PoisonGuard(NodeSettings settings) {
    this.settings = settings;
  }

  /** Returns an instance without suspects. */
  static PoisonGuard create(NodeSettings settings) {
    return new PoisonGuard(settings);
  }

  // Requests

  /** Returns the refusal of a request if its content is poison. */
  Optional<Refusal> check(InboundRequest request, boolean mayHaveReachedBackend, Instant now) {
    if (crashHistory.isEmpty()) {
      return Optional.empty();
    }
    String fingerprint = Fingerprints.ofCustomerAndContent(request);
    if (!crashHistory.isPoison(fingerprint, now)) {
      return Optional.empty();
    }
    String detail =
        CrashHistory.CRASH_LIMIT
            + " backend servers crashed while running this content; fingerprint "
            + fingerprint;
    return Optional.of(
        mayHaveReachedBackend
            ? Refusal.outcomeUnknown(ResultCode.POISON_REQUEST, detail)
            : Refusal.notRun(ResultCode.POISON_REQUEST, detail));
  }

  /** Returns whether a request's content was running at a crash and has not completed since. */
  boolean isSuspect(PendingRequest pending) {
    return !crashHistory.isEmpty() && crashHistory.isSuspect(pending.fingerprint());
  }

  /** Returns whether a request may run on a runner, given the suspects that are running. */
  boolean mayRun(PendingRequest pending, RunnerId runner) {
    return !isSuspect(pending)
        || (suspectCountByRunner.getOrDefault(runner, 0) == 0 && !isRunning(pending.fingerprint()));
  }

  private boolean isRunning(String fingerprint) {
    return runnerBySuspect.keySet().stream()
        .anyMatch(running -> running.fingerprint().equals(fingerprint));
  }

  /** Records that an attempt of a request was started on a runner. */
  void recordAttemptStart(PendingRequest pending) {
    if (isSuspect(pending)) {
      RunnerId runner = pending.runner().orElseThrow();
      runnerBySuspect.put(pending, runner);
      suspectCountByRunner.merge(runner, 1, Integer::sum);
    }
  }

  /** Records that the attempt of a request ended, with any outcome. */
  void recordAttemptEnd(PendingRequest pending) {
    RunnerId runner = runnerBySuspect.remove(pending);
    if (runner != null) {
      suspectCountByRunner.merge(runner, -1, Integer::sum);
    }
  }

  /** Records that a request completed, which clears its content of suspicion. */
  void recordSuccess(PendingRequest pending, Step step) {
    if (isSuspect(pending)) {
      appendAndApply(
          new RecordBody.SuspicionCleared(
              pending.fingerprint(), settings.node().value(), "the request completed"),
          step);
    }
  }

  /**
   * Records that a backend server was lost while it ran a request.
   *
   * @return whether the crash has made the request's content poison
   */
  boolean recordCrash(PendingRequest pending, RunnerTable runners, Step step) {
    RunnerId runner = pending.runner().orElseThrow();
    Incarnation incarnation = runners.incarnation(runner);
    RecordBody.CrashSuspected crash =
        new RecordBody.CrashSuspected(pending.fingerprint(), runner, incarnation);
    unconfirmedCrashes.add(new UnconfirmedCrash(crash, step.now()));
    return appendAndApply(crash, step);
  }

  // Evidence

  /** Handles a report of a runner, which confirms or refutes suspected crashes. */
  void acceptReport(EngineReport report, Step step) {
    for (UnconfirmedCrash suspected : List.copyOf(unconfirmedCrashes)) {
      RecordBody.CrashSuspected crash = suspected.crash();
      if (!crash.runner().equals(report.runner())) {
        continue;
      }
      boolean crashed = report.incarnation().compareTo(crash.incarnation()) > 0;
      if (crashed) {
        unconfirmedCrashes.remove(suspected);
      } else if (!step.now().isBefore(suspected.seenAt().plus(RETRACTION_DELAY))) {
        unconfirmedCrashes.remove(suspected);
        appendAndApply(
            new RecordBody.CrashRetracted(crash.fingerprint(), crash.runner(), crash.incarnation()),
            step);
      }
    }
  }

  /**
   * Applies a record read from the log. Records appended by this node were applied before and are
   * only confirmed.
   *
   * @return whether the record has made any content poison
   */
  boolean acceptRecord(RecordBody body, Step step) {
    boolean isOwn = unconfirmedAppends.remove(body) != null;
    return !isOwn && apply(body, step);
  }

  /** Returns all recorded crashes. */
  List<RecordBody.CrashSuspected> crashes() {
    return crashHistory.crashes();
  }

  /** Adds the crashes of a snapshot. */
  void restore(List<RecordBody.CrashSuspected> crashes, Instant now) {
    crashes.forEach(crash -> crashHistory.apply(crash, now));
  }

  private boolean appendAndApply(RecordBody body, Step step) {
    append(body, step);
    return apply(body, step);
  }

  private boolean apply(RecordBody body, Step step) {
    boolean poisoned = crashHistory.apply(body, step.now());
    if (poisoned && body instanceof RecordBody.CrashSuspected crash) {
      step.log(
          EventCode.POISON_FOUND, "fingerprint", crash.fingerprint(), "runner", crash.runner());
    }
    return poisoned;
  }

  private void append(RecordBody body, Step step) {
    sequence++;
    RecordId record = RecordId.of(settings.node() + "." + settings.incarnation() + ".p" + sequence);
    unconfirmedAppends.put(body, step.now().plus(settings.timings().appendRetry().multipliedBy(2)));
    step.emit(new Effect.Append(record, body));
  }

  /** Repeats the appends of records that were not read back in time. */
  void advance(Step step, boolean logIsDown) {
    logDown = logIsDown;
    if (logDown || unconfirmedAppends.isEmpty()) {
      return;
    }
    List<RecordBody> due =
        unconfirmedAppends.entrySet().stream()
            .filter(entry -> !step.now().isBefore(entry.getValue()))
            .map(Map.Entry::getKey)
            .toList();
    due.forEach(body -> append(body, step));
  }

  /** Returns when the next append has to be repeated. */
  Optional<Instant> nextWakeUp() {
    if (logDown) {
      return Optional.empty();
    }
    Optional<Instant> earliest = Optional.empty();
    for (Instant retry : unconfirmedAppends.values()) {
      earliest = Deadlines.earliest(earliest, Optional.of(retry));
    }
    return earliest;
  }
}
