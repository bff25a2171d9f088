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
 * Stops requests that crash the backend servers that run them.
 *
 * <p>Each request that runs on a backend server when it crashes becomes a suspect, here at once and
 * on the other nodes through the log. A suspect runs only where no other suspect of this node runs,
 * and only once at a time, so that the next crash tells it apart from the innocent ones, which are
 * cleared when they complete. A crash that turns out to be none is retracted.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class PoisonGuard {

  /** A runner that still reports as the same run after this time has not crashed. */
  private static final Duration RETRACTION_DELAY = Duration.ofSeconds(2);

  /** A crash that was taken for one and is not proven yet. */
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

  /** Returns a guard that suspects nobody. */
  static PoisonGuard create(NodeSettings settings) {
    return new PoisonGuard(settings);
  }

  // Requests

  /** Returns the refusal of a request whose content is poison. */
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
            + " backend servers crashed while they ran this content; fingerprint "
            + fingerprint;
    return Optional.of(
        mayHaveReachedBackend
            ? Refusal.outcomeUnknown(ResultCode.POISON_REQUEST, detail)
            : Refusal.notRun(ResultCode.POISON_REQUEST, detail));
  }

  /** Returns whether a request was there at a crash and has not completed since. */
  boolean isSuspect(PendingRequest pending) {
    return !crashHistory.isEmpty() && crashHistory.isSuspect(pending.fingerprint());
  }

  /** Returns whether a request may run on a runner beside those that run there. */
  boolean mayRun(PendingRequest pending, RunnerId runner) {
    return !isSuspect(pending)
        || (suspectCountByRunner.getOrDefault(runner, 0) == 0 && !isRunning(pending.fingerprint()));
  }

  private boolean isRunning(String fingerprint) {
    return runnerBySuspect.keySet().stream()
        .anyMatch(running -> running.fingerprint().equals(fingerprint));
  }

  /** Notes that a request was handed to a runner. */
  void recordAttemptStart(PendingRequest pending) {
    if (isSuspect(pending)) {
      RunnerId runner = pending.runner().orElseThrow();
      runnerBySuspect.put(pending, runner);
      suspectCountByRunner.merge(runner, 1, Integer::sum);
    }
  }

  /** Notes that the attempt of a request ended, however it did. */
  void recordAttemptEnd(PendingRequest pending) {
    RunnerId runner = runnerBySuspect.remove(pending);
    if (runner != null) {
      suspectCountByRunner.merge(runner, -1, Integer::sum);
    }
  }

  /** Notes that a request completed: its content is innocent. */
  void recordSuccess(PendingRequest pending, Step step) {
    if (isSuspect(pending)) {
      appendAndApply(
          new RecordBody.SuspicionCleared(
              pending.fingerprint(), settings.node().value(), "it completed"),
          step);
    }
  }

  /**
   * Notes that a backend server was lost while it ran a request.
   *
   * @return whether the content has become poison
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

  /** Takes a report of a runner: it proves a crash, or that there was none. */
  void acceptReport(EngineReport report, Step step) {
    for (UnconfirmedCrash candidate : List.copyOf(unconfirmedCrashes)) {
      RecordBody.CrashSuspected crash = candidate.crash();
      if (!crash.runner().equals(report.runner())) {
        continue;
      }
      boolean crashed = report.incarnation().compareTo(crash.incarnation()) > 0;
      if (crashed) {
        unconfirmedCrashes.remove(candidate);
      } else if (!step.now().isBefore(candidate.seenAt().plus(RETRACTION_DELAY))) {
        unconfirmedCrashes.remove(candidate);
        appendAndApply(
            new RecordBody.CrashRetracted(crash.fingerprint(), crash.runner(), crash.incarnation()),
            step);
      }
    }
  }

  /**
   * Takes a record of the log.
   *
   * @return whether a content has become poison by it
   */
  boolean acceptRecord(RecordBody body, Step step) {
    boolean isOwn = unconfirmedAppends.remove(body) != null;
    return !isOwn && apply(body, step);
  }

  /** Returns the crashes that are held against contents. */
  List<RecordBody.CrashSuspected> crashes() {
    return crashHistory.crashes();
  }

  /** Takes crashes from a snapshot. */
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

  /** Appends again what was not read back. */
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

  /** Returns when something is to be appended again. */
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
