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
  private static final Duration PROOF_OF_LIFE = Duration.ofSeconds(2);

  /** A crash that was taken for one and is not proven yet. */
  private record Unproven(RecordBody.CrashSuspected crash, Instant seenAt) {}

  private final NodeSettings settings;
  private final PoisonLedger ledger = new PoisonLedger();
  private final Map<RunnerId, Integer> suspectsRunning = new TreeMap<>();
  private final Map<PendingRequest, RunnerId> runningSuspects = new LinkedHashMap<>();
  private final List<Unproven> unproven = new ArrayList<>();
  private final Map<RecordBody, Instant> unconfirmed = new LinkedHashMap<>();
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
  Optional<Refusal> check(InboundRequest request, boolean handedOver, Instant now) {
    if (ledger.isEmpty()) {
      return Optional.empty();
    }
    String fingerprint = Fingerprints.ofCustomersContent(request);
    if (!ledger.isPoison(fingerprint, now)) {
      return Optional.empty();
    }
    String detail =
        PoisonLedger.CRASH_LIMIT
            + " backend servers crashed while they ran this content; fingerprint "
            + fingerprint;
    return Optional.of(
        handedOver
            ? Refusal.outcomeUnknown(ResultCode.POISON_REQUEST, detail)
            : Refusal.notRun(ResultCode.POISON_REQUEST, detail));
  }

  /** Returns whether a request was there at a crash and has not completed since. */
  boolean isSuspect(PendingRequest pending) {
    return !ledger.isEmpty() && ledger.isSuspect(pending.fingerprint());
  }

  /** Returns whether a request may run on a runner beside those that run there. */
  boolean mayRun(PendingRequest pending, RunnerId runner) {
    return !isSuspect(pending)
        || (suspectsRunning.getOrDefault(runner, 0) == 0 && !runs(pending.fingerprint()));
  }

  private boolean runs(String fingerprint) {
    return runningSuspects.keySet().stream()
        .anyMatch(running -> running.fingerprint().equals(fingerprint));
  }

  /** Notes that a request was handed to a runner. */
  void recordStart(PendingRequest pending) {
    if (isSuspect(pending)) {
      RunnerId runner = pending.runner().orElseThrow();
      runningSuspects.put(pending, runner);
      suspectsRunning.merge(runner, 1, Integer::sum);
    }
  }

  /** Notes that the attempt of a request ended, however it did. */
  void recordEnd(PendingRequest pending) {
    RunnerId runner = runningSuspects.remove(pending);
    if (runner != null) {
      suspectsRunning.merge(runner, -1, Integer::sum);
    }
  }

  /** Notes that a request completed: its content is innocent. */
  void recordSuccess(PendingRequest pending, Step step) {
    if (isSuspect(pending)) {
      share(
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
    unproven.add(new Unproven(crash, step.now()));
    return share(crash, step);
  }

  // Evidence

  /** Takes a report of a runner: it proves a crash, or that there was none. */
  void acceptReport(EngineReport report, Step step) {
    for (Unproven candidate : List.copyOf(unproven)) {
      RecordBody.CrashSuspected crash = candidate.crash();
      if (!crash.runner().equals(report.runner())) {
        continue;
      }
      boolean crashed = report.incarnation().compareTo(crash.incarnation()) > 0;
      if (crashed) {
        unproven.remove(candidate);
      } else if (!step.now().isBefore(candidate.seenAt().plus(PROOF_OF_LIFE))) {
        unproven.remove(candidate);
        share(
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
    boolean isOwn = unconfirmed.remove(body) != null;
    return !isOwn && apply(body, step);
  }

  /** Returns the crashes that are held against contents. */
  List<RecordBody.CrashSuspected> crashes() {
    return ledger.crashes();
  }

  /** Takes crashes from a snapshot. */
  void restore(List<RecordBody.CrashSuspected> crashes, Instant now) {
    crashes.forEach(crash -> ledger.apply(crash, now));
  }

  private boolean share(RecordBody body, Step step) {
    append(body, step);
    return apply(body, step);
  }

  private boolean apply(RecordBody body, Step step) {
    boolean poisoned = ledger.apply(body, step.now());
    if (poisoned && body instanceof RecordBody.CrashSuspected crash) {
      step.log(
          EventCode.POISON_FOUND, "fingerprint", crash.fingerprint(), "runner", crash.runner());
    }
    return poisoned;
  }

  private void append(RecordBody body, Step step) {
    sequence++;
    RecordId record = RecordId.of(settings.node() + "." + settings.incarnation() + ".p" + sequence);
    unconfirmed.put(body, step.now().plus(settings.timings().appendRetry().multipliedBy(2)));
    step.emit(new Effect.Append(record, body));
  }

  /** Appends again what was not read back. */
  void advance(Step step, boolean logIsDown) {
    logDown = logIsDown;
    if (logDown || unconfirmed.isEmpty()) {
      return;
    }
    List<RecordBody> due =
        unconfirmed.entrySet().stream()
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
    for (Instant retry : unconfirmed.values()) {
      earliest = Deadlines.earliest(earliest, Optional.of(retry));
    }
    return earliest;
  }
}
