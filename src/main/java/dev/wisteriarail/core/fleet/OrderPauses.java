package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks from when a lease holder may send orders to each runner, and how long its successor has to
 * wait: orders of two holders to the same runner are never closer than the handover delay.
 *
 * <p>Life cycle: one per node process; {@link #reset} with each claim. Not thread-safe.
 */
final class OrderPauses {

  private final Duration handoverDelay;
  private final Map<String, Instant> inheritedUntil = new HashMap<>();
  private final Map<String, Instant> lastArrival = new HashMap<>();

  /** By runner, the number and the latest possible arrival of each order without an outcome. */
  private final Map<String, Map<Long, Instant>> openOrders = new HashMap<>();

  private Instant allFrom = Instant.MAX;
  private Instant earlierRunUntil = Instant.MIN;

  /**
   * Creates pauses that permit no orders.
   *
   * @param handoverDelay minimum time between orders of two holders to the same runner, including
   *     the time that an order may be in transit
   */
  OrderPauses(Duration handoverDelay) {
    this.handoverDelay = handoverDelay;
  }

  /** Starts a claim under which orders may be sent from a given time. */
  void reset(Instant from) {
    inheritedUntil.clear();
    lastArrival.clear();
    openOrders.clear();
    allFrom = from;
    earlierRunUntil = Instant.MIN;
  }

  /**
   * Starts a claim with the predecessor's handover.
   *
   * @param readAt when the handover was read
   */
  void reset(Handover handover, Instant readAt) {
    reset(readAt.plusMillis(handover.quietMillis()));
    handover
        .runnerQuietMillis()
        .forEach((runner, waitMillis) -> inheritedUntil.put(runner, readAt.plusMillis(waitMillis)));
  }

  /**
   * Records that an earlier run of this VM may have sent orders to any runner. This delays only a
   * successor, because all runs of a VM count as one holder.
   *
   * @param until when the successor no longer has to wait for them
   */
  void recordEarlierRun(Instant until) {
    earlierRunUntil = until;
  }

  /** Shortens the wait for all runners, after the predecessor reported when it stopped. */
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

  /**
   * Records an order that is being sent.
   *
   * @param latestArrival when it is given up if it is not answered before
   */
  void recordOrder(String runner, long number, Instant latestArrival) {
    openOrders.computeIfAbsent(runner, id -> new HashMap<>()).put(number, latestArrival);
  }

  /** Records that an order was answered or given up; ignores orders under an earlier claim. */
  void recordOrderCompleted(String runner, long number, Instant now) {
    Map<Long, Instant> open = openOrders.getOrDefault(runner, Map.of());
    if (open.containsKey(number)) {
      open.remove(number);
      lastArrival.put(runner, now);
    }
  }

  /** Returns the time from which orders may be sent to runners without an individual pause. */
  Instant from() {
    return allFrom;
  }

  /** Returns whether an order may be sent to a runner. */
  boolean allows(String runner, Instant now) {
    return !now.isBefore(allFrom)
        && !now.isBefore(inheritedUntil.getOrDefault(runner, Instant.MIN));
  }

  /** Returns when a successor may send orders to every runner. */
  Instant end() {
    Instant end = allForSuccessor();
    for (Instant until : untilByRunner().values()) {
      end = until.isAfter(end) ? until : end;
    }
    return end;
  }

  /** Returns the handover to the successor if this holder stops now. */
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
    lastArrival.forEach((runner, at) -> extendPause(until, runner, at));
    openOrders.forEach(
        (runner, orders) -> orders.values().forEach(at -> extendPause(until, runner, at)));
    return until;
  }

  private void extendPause(Map<String, Instant> until, String runner, Instant arrival) {
    until.merge(runner, arrival.plus(handoverDelay), (a, b) -> a.isAfter(b) ? a : b);
  }
}
