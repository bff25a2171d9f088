package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * From when a holder of the lease may order each runner, and what its successor has to wait for:
 * two holders never order one runner within the handover.
 *
 * <p>Life cycle: one per run of a node; {@link #begin} with each claim. Not thread-safe.
 */
final class OrderPauses {

  private final Duration handover;
  private final Map<String, Instant> inherited = new HashMap<>();
  private final Map<String, Instant> ordered = new HashMap<>();
  private Instant all = Instant.MAX;
  private Instant earlierRun = Instant.MIN;

  /**
   * Returns pauses under which nothing may be ordered.
   *
   * @param handover least time between orders of two holders to one runner, the time that an order
   *     may be under way included
   */
  OrderPauses(Duration handover) {
    this.handover = handover;
  }

  /** Begins a claim: no order goes out to any runner before a time. */
  void begin(Instant from) {
    inherited.clear();
    ordered.clear();
    all = from;
    earlierRun = Instant.MIN;
  }

  /** Begins a claim with what the predecessor left, as known at a time. */
  void begin(Handover left, Instant at) {
    begin(at.plusMillis(left.quietMillis()));
    left.runnerQuietMillis()
        .forEach((runner, quiet) -> inherited.put(runner, at.plusMillis(quiet)));
  }

  /**
   * Notes that an earlier run of this VM may have ordered any runner. That binds a successor only:
   * one VM is one holder.
   *
   * @param until from when that does not matter any more
   */
  void noteEarlierRun(Instant until) {
    earlierRun = until;
  }

  /** Shortens the wait for all runners, after the predecessor told when it stopped. */
  void shorten(Instant from) {
    if (from.isBefore(all)) {
      all = from;
    }
  }

  /** Extends the wait for all runners. */
  void extend(Instant from) {
    if (from.isAfter(all)) {
      all = from;
    }
  }

  /** Notes an order that goes out now. */
  void note(String runner, Instant now) {
    ordered.put(runner, now);
  }

  /** Returns from when orders may go out to runners without a pause of their own. */
  Instant from() {
    return all;
  }

  /** Returns whether an order may go out to a runner. */
  boolean allows(String runner, Instant now) {
    return !now.isBefore(all) && !now.isBefore(inherited.getOrDefault(runner, Instant.MIN));
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
  Handover leave(LoadHistory loads, Instant now) {
    Map<String, Long> quiet = new HashMap<>();
    untilByRunner()
        .forEach(
            (runner, until) -> {
              if (until.isAfter(now)) {
                quiet.put(runner, Duration.between(now, until).toMillis());
              }
            });
    Instant forAll = allForSuccessor();
    long allMillis = forAll.isAfter(now) ? Duration.between(now, forAll).toMillis() : 0;
    return new Handover(allMillis, quiet, loads);
  }

  private Instant allForSuccessor() {
    return all.isAfter(earlierRun) ? all : earlierRun;
  }

  private Map<String, Instant> untilByRunner() {
    Map<String, Instant> until = new HashMap<>(inherited);
    ordered.forEach((runner, at) -> until.put(runner, at.plus(handover)));
    return until;
  }
}
