package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * From when a holder of the lease may order each runner, and what its successor has to wait for:
 * two holders never order one runner within the handover.
 *
 * <p>Life cycle: one per run of a node; {@link #reset} with each claim. Not thread-safe.
 */
final class OrderPauses {

  private final Duration handoverDelay;
  private final Map<String, Instant> inheritedUntil = new HashMap<>();
  private final Map<String, Instant> lastOrderAt = new HashMap<>();
  private Instant allFrom = Instant.MAX;
  private Instant earlierRunUntil = Instant.MIN;

  /**
   * Returns pauses under which nothing may be ordered.
   *
   * @param handoverDelay least time between orders of two holders to one runner, the time that an
   *     order may be under way included
   */
  OrderPauses(Duration handoverDelay) {
    this.handoverDelay = handoverDelay;
  }

  /** Begins a claim: no order goes out to any runner before a time. */
  void reset(Instant from) {
    inheritedUntil.clear();
    lastOrderAt.clear();
    allFrom = from;
    earlierRunUntil = Instant.MIN;
  }

  /** Begins a claim with what the predecessor left, as known at a time. */
  void reset(Handover handover, Instant readAt) {
    reset(readAt.plusMillis(handover.quietMillis()));
    handover
        .runnerQuietMillis()
        .forEach((runner, quiet) -> inheritedUntil.put(runner, readAt.plusMillis(quiet)));
  }

  /**
   * Notes that an earlier run of this VM may have ordered any runner. That binds a successor only:
   * one VM is one holder.
   *
   * @param until from when that does not matter any more
   */
  void recordEarlierRun(Instant until) {
    earlierRunUntil = until;
  }

  /** Shortens the wait for all runners, after the predecessor told when it stopped. */
  void shorten(Instant from) {
    if (from.isBefore(allFrom)) {
      allFrom = from;
    }
  }

  /** Extends the wait for all runners. */
  void extend(Instant from) {
    if (from.isAfter(allFrom)) {
      allFrom = from;
    }
  }

  /** Notes an order that goes out now. */
  void recordOrder(String runner, Instant now) {
    lastOrderAt.put(runner, now);
  }

  /** Returns from when orders may go out to runners without a pause of their own. */
  Instant from() {
    return allFrom;
  }

  /** Returns whether an order may go out to a runner. */
  boolean allows(String runner, Instant now) {
    return !now.isBefore(allFrom)
        && !now.isBefore(inheritedUntil.getOrDefault(runner, Instant.MIN));
  }

  /** Returns when a successor may order every runner. */
  Instant end() {
    Instant end = allForSuccessor();
    for (Instant until : untilByRunner().values()) {
      end = until.isAfter(end) ? until : end;
    }
    return end;
  }

  /** Returns what a successor has to know if this holder stops now. */
  Handover createHandover(LoadHistory loads, Instant now) {
    Map<String, Long> runnerWaitMillis = new HashMap<>();
    untilByRunner()
        .forEach(
            (runner, until) -> {
              if (until.isAfter(now)) {
                runnerWaitMillis.put(runner, Duration.between(now, until).toMillis());
              }
            });
    Instant forAll = allForSuccessor();
    long allMillis = forAll.isAfter(now) ? Duration.between(now, forAll).toMillis() : 0;
    return new Handover(allMillis, runnerWaitMillis, loads);
  }

  private Instant allForSuccessor() {
    return allFrom.isAfter(earlierRunUntil) ? allFrom : earlierRunUntil;
  }

  private Map<String, Instant> untilByRunner() {
    Map<String, Instant> until = new HashMap<>(inheritedUntil);
    lastOrderAt.forEach((runner, at) -> until.put(runner, at.plus(handoverDelay)));
    return until;
  }
}
