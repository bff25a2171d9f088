package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** One runner: an engine that takes orders, or a plain one. Not thread-safe. */
final class FakeBackend {

  private final String id;
  private final String service;
  private final boolean engine;
  private final int port;
  private FakeEngine contents = FakeEngine.withDisk(Set.of());
  private long born = 1;
  private long written;
  private long fence;
  private String holder = "";
  private boolean up = true;
  private boolean draining;
  private boolean saysLeaving;
  private Instant pausesUntil = Instant.EPOCH;
  private Mood mood = Mood.SOUND;

  /** What a runner does with requests. */
  enum Mood {
    SOUND,
    FULL,
    FAILING,
    ANSWER_LOST,
    CUT,
    /** It runs requests and answers nothing. */
    SILENT,
    /** Nothing reaches it, or only much later; nobody is told. */
    DARK,
    /** It answers after seconds. */
    SLOW,
    /** Its streams last for seconds. */
    LONG
  }

  FakeBackend(String id, String service, boolean engine, int port) {
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.port = port;
  }

  // Orders

  /**
   * Takes an order; tells the oracle of what no node may order.
   *
   * @param transit time that an adapter needs to arrive
   */
  FleetOrderOutcome order(
      GatewayEffect.SendOrder order, Duration transit, GatewayOracle oracle, Instant now) {
    if (order.fence() < fence) {
      return FleetOrderOutcome.FENCED;
    }
    if (order.fence() == fence && !order.holder().equals(holder)) {
      oracle.complain("one-holder", id + " got orders of two holders with number " + fence, now);
    }
    fence = order.fence();
    holder = order.holder();
    return contents.order(
        order.order().order(),
        order.order().expectedOrderCount(),
        transit,
        detail -> oracle.complain("memory", id + " " + detail, now),
        now);
  }

  RunnerReport report(Instant now) {
    FakeEngine.State state = contents.report(now);
    return new RunnerReport(
        id,
        born,
        state.orders(),
        state.busy(),
        state.held(),
        state.incoming(),
        Set.of(),
        state.disk(),
        0,
        0,
        0);
  }

  RunnerEntry entry(Instant now) {
    FakeEngine.State state = contents.report(now);
    return new RunnerEntry(
        id,
        service,
        "10.1.0.1",
        port,
        "a",
        GatewayFuzzPlan.SLOTS,
        draining,
        born,
        ++written,
        state.held(),
        Set.of(),
        state.disk());
  }

  // Requests

  boolean holds(String model, String adapter, Instant now) {
    return !engine || contents.holds(model, adapter, now);
  }

  /**
   * Notes that a request begins to run.
   *
   * @return what notes that it has ended
   */
  Runnable begin(String model, String adapter) {
    FakeEngine run = contents;
    run.begin(model, adapter);
    return () -> run.end(model, adapter);
  }

  // Control

  void hold(String model) {
    contents.hold(model);
  }

  void crash() {
    up = false;
    contents = FakeEngine.withDisk(contents.disk());
  }

  void restart() {
    if (!up) {
      up = true;
      saysLeaving = false;
      pausesUntil = Instant.EPOCH;
      born++;
      fence = 0;
      holder = "";
    }
  }

  void drain() {
    draining = true;
  }

  /** Says in its answers from now on that it leaves; its entry goes on to say that it is ready. */
  void sayLeaving() {
    saysLeaving = true;
  }

  /** Turns requests away until a time, and says so. */
  void pauseUntil(Instant until) {
    pausesUntil = until;
  }

  void setMood(Mood newMood) {
    mood = newMood;
  }

  // Accessors

  String id() {
    return id;
  }

  boolean isUp() {
    return up;
  }

  long born() {
    return born;
  }

  /** Returns what it says of itself in an answer to a request. */
  List<RunnerNotification> words(Instant now) {
    List<RunnerNotification> words = new ArrayList<>();
    if (saysLeaving) {
      words.add(new RunnerNotification.Leaving());
    }
    if (isPausing(now)) {
      long millis = Duration.between(now, pausesUntil).toMillis();
      words.add(new RunnerNotification.RetryAfter(BigDecimal.valueOf(millis, 3).toPlainString()));
    }
    return words;
  }

  boolean isPausing(Instant now) {
    return now.isBefore(pausesUntil);
  }

  Mood mood() {
    return mood;
  }
}
