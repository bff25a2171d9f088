package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A runner: an engine that accepts orders, or a plain backend server. Not thread-safe. */
final class FakeBackend {

  private final String id;
  private final String service;
  private final boolean engine;
  private final int port;
  private FakeEngine engineState = FakeEngine.withDisk(Set.of());
  private long bornMillis = 1;
  private long entryVersion;
  private long fence;
  private String holder = "";
  private boolean up = true;
  private boolean draining;
  private boolean announcesLeaving;
  private Instant pausedUntil = Instant.EPOCH;
  private Instant silentUntil = Instant.EPOCH;
  private Behavior behavior = Behavior.HEALTHY;

  /** How a runner responds to requests. */
  enum Behavior {
    HEALTHY,
    FULL,
    FAILING,
    ANSWER_LOST,
    ANSWER_CUT,
    /** Runs requests and never answers. */
    SILENT,
    /** Requests are lost or arrive much later; the node gets no error. */
    UNREACHABLE,
    /** Answers after seconds. */
    SLOW,
    /** Streams answers for seconds. */
    LONG_STREAMS
  }

  FakeBackend(String id, String service, boolean engine, int port) {
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.port = port;
  }

  // Orders

  /**
   * Handles an order, and reports orders that no node may send to the oracle.
   *
   * @param transit time until a loaded adapter is available
   */
  FleetOrderOutcome acceptOrder(
      GatewayEffect.SendOrder order, Duration transit, GatewayOracle oracle, Instant now) {
    if (order.fence() < fence) {
      return FleetOrderOutcome.FENCED;
    }
    if (order.fence() == fence && !order.holder().equals(holder)) {
      oracle.reportViolation(
          "one-holder", id + " got orders of two holders with number " + fence, now);
    }
    fence = order.fence();
    holder = order.holder();
    return engineState.acceptOrder(
        order.order().order(),
        order.order().expectedOrderCount(),
        transit,
        detail -> oracle.reportViolation("memory", id + " " + detail, now),
        now);
  }

  RunnerReport report(Instant now) {
    FakeEngine.State state = engineState.report(now);
    return new RunnerReport(
        id,
        bornMillis,
        state.orders(),
        state.busy(),
        state.models(),
        state.incoming(),
        Set.of(),
        state.disk(),
        0,
        0,
        0);
  }

  RunnerEntry entry(Instant now) {
    FakeEngine.State state = engineState.report(now);
    return new RunnerEntry(
        id,
        service,
        "10.1.0.1",
        port,
        "a",
        GatewayFuzzDeployment.SLOTS,
        draining,
        bornMillis,
        ++entryVersion,
        state.models(),
        Set.of(),
        state.disk());
  }

  // Requests

  boolean canServe(String model, String adapter, Instant now) {
    return !engine || engineState.canServe(model, adapter, now);
  }

  /**
   * Records the start of a request.
   *
   * @return action that records the end of the request
   */
  Runnable startRequest(String model, String adapter) {
    FakeEngine process = engineState;
    process.startRequest(model, adapter);
    return () -> process.endRequest(model, adapter);
  }

  // Control

  void preload(String model) {
    engineState.preload(model);
  }

  void crash() {
    up = false;
    engineState = FakeEngine.withDisk(engineState.disk());
  }

  void restart() {
    if (!up) {
      up = true;
      announcesLeaving = false;
      pausedUntil = Instant.EPOCH;
      silentUntil = Instant.EPOCH;
      bornMillis++;
      fence = 0;
      holder = "";
    }
  }

  void drain() {
    draining = true;
  }

  /** Announces in its answers that it is leaving; its directory entry still shows it as ready. */
  void announceLeaving() {
    announcesLeaving = true;
  }

  /** Refuses requests until a time and sends a retry time with each refusal. */
  void pauseUntil(Instant until) {
    pausedUntil = until;
  }

  /** Sends nothing until a time, then goes on with all answers where they stopped. */
  void fallSilentUntil(Instant until) {
    silentUntil = until;
  }

  void setBehavior(Behavior newMood) {
    behavior = newMood;
  }

  // Accessors

  String id() {
    return id;
  }

  boolean isUp() {
    return up;
  }

  /** Returns whether the run with a start time has not ended. */
  boolean isRunning(long run) {
    return up && bornMillis == run;
  }

  /** Returns what a node gets of a result that a run of this runner was about to send. */
  AttemptResult resultOf(long run, AttemptResult result) {
    return isRunning(run) ? result : new AttemptResult.Broken("reset", false, "", true);
  }

  long bornMillis() {
    return bornMillis;
  }

  /** Returns the notifications that an answer to a request carries. */
  List<RunnerNotification> notifications(Instant now) {
    List<RunnerNotification> notifications = new ArrayList<>();
    if (announcesLeaving) {
      notifications.add(new RunnerNotification.Leaving());
    }
    if (isPausing(now)) {
      long millis = Duration.between(now, pausedUntil).toMillis();
      notifications.add(
          new RunnerNotification.RetryAfter(BigDecimal.valueOf(millis, 3).toPlainString()));
    }
    return notifications;
  }

  boolean isPausing(Instant now) {
    return now.isBefore(pausedUntil);
  }

  /** Returns the time until the runner sends again; zero if it is not silent. */
  Duration remainingSilence(Instant now) {
    return now.isBefore(silentUntil) ? Duration.between(now, silentUntil) : Duration.ZERO;
  }

  /** Returns whether the runner answers each request that it runs unless it crashes. */
  boolean isSound() {
    return switch (behavior) {
      case HEALTHY, SLOW, LONG_STREAMS -> true;
      case FULL, FAILING, ANSWER_LOST, ANSWER_CUT, SILENT, UNREACHABLE -> false;
    };
  }

  Behavior behavior() {
    return behavior;
  }
}
