package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * What disturbs a run: faults of nodes, links, the store and runners, stops of nodes in series, and
 * bursts of callers.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class GatewayFaults {

  /** Time after a disturbance in which bounds do not hold. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(5);

  /** Time before the end of the faults from which no series of stops begins. */
  private static final Duration ROLLING_RESTART_TIME = Duration.ofSeconds(5);

  private static final double LOST_ANSWER_SHARE = 0.4;
  private static final double ALL_RUNNERS_SHARE = 0.4;
  private static final int BURST_REQUESTS = 30;

  /** Share of the returns from a copy that are followed by the next one within five seconds. */
  private static final double EARLY_RESTORE_SHARE = 0.3;

  /** Share of the runners that say something and leave; the others want a pause. */
  private static final double LEAVING_SHARE = 0.4;

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final SeededRandom chance;
  private final SeededRandom notificationRandom;
  private final SeededRandom restoreRandom;
  private final FakeMetadataStore store;
  private final List<FuzzedNode> nodes;
  private final List<FakeBackend> backends;
  private Instant disturbedUntil = Instant.EPOCH;
  private boolean storeDown;
  private double lostAnswerShare;
  private int count;

  GatewayFaults(
      GatewayFuzz world,
      VirtualScheduler time,
      SeededRandom chance,
      SeededRandom words,
      SeededRandom copies,
      FakeMetadataStore store,
      List<FuzzedNode> nodes,
      List<FakeBackend> backends) {
    this.simulation = world;
    this.time = time;
    this.chance = chance;
    this.notificationRandom = words;
    this.restoreRandom = copies;
    this.store = store;
    this.nodes = nodes;
    this.backends = backends;
  }

  /** Begins one disturbance and, while the time for them lasts, the next. */
  void disturb() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    count++;
    FuzzedNode node = chance.pick(nodes);
    FakeBackend backend = chance.pick(backends);
    Duration length = chance.nextDuration(100, 4_000);
    switch (chance.nextInt(13)) {
      case 0 -> kill(node, length);
      case 1 -> drain(node);
      case 2 -> pause(node, length);
      case 3 -> {
        node.setStoreCut(true);
        time.after(length, () -> node.setStoreCut(false));
      }
      case 4 -> {
        node.setPeersCut(true);
        time.after(length, () -> node.setPeersCut(false));
      }
      case 5 -> {
        storeDown = true;
        time.after(length, () -> storeDown = false);
      }
      case 6 -> {
        lostAnswerShare = LOST_ANSWER_SHARE;
        time.after(length, () -> lostAnswerShare = 0);
      }
      case 7 -> {
        backend.crash();
        time.after(length, backend::restart);
      }
      case 8, 9 -> changeBehavior(backend, length);
      case 10 -> rollingRestart();
      case 11 -> {
        rollingRestart();
        burst();
        time.after(chance.nextDuration(0, 6_000), () -> changeBehavior(backend, length));
      }
      default -> {
        store.compact();
        simulation.publish();
      }
    }
    disturb(length);
    time.after(chance.nextDuration(200, 2_500), this::disturb);
  }

  private void disturb(Duration length) {
    Instant until = time.now().plus(length);
    disturbedUntil = until.isAfter(disturbedUntil) ? until : disturbedUntil;
  }

  /** Lets a runner say something of itself in its answers, and then the next one. */
  void announceFromRunner() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    FakeBackend backend = notificationRandom.pick(backends);
    Duration length = notificationRandom.nextDuration(500, 4_000);
    if (notificationRandom.nextBoolean(LEAVING_SHARE)) {
      backend.announceLeaving();
      time.after(length, backend::crash);
      time.after(length.plus(notificationRandom.nextDuration(100, 2_000)), backend::restart);
    } else {
      backend.pauseUntil(time.now().plus(length));
    }
    disturb(length);
    time.after(notificationRandom.nextDuration(500, 4_000), this::announceFromRunner);
  }

  /** Lets the store be away for a moment and come back from a copy, and then again. */
  void restoreStore() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    Duration away = restoreRandom.nextDuration(0, 800);
    storeDown = true;
    time.after(
        away,
        () -> {
          storeDown = false;
          store.restore(time.now().minus(restoreRandom.nextDuration(200, 5_000)));
          time.after(restoreRandom.nextDuration(100, 2_000), simulation::publishAgain);
          disturb(Duration.ofSeconds(2));
        });
    disturb(away);
    boolean soon = restoreRandom.nextBoolean(EARLY_RESTORE_SHARE);
    time.after(
        restoreRandom.nextDuration(soon ? 1_000 : 4_000, soon ? 5_000 : 14_000),
        this::restoreStore);
  }

  /** Notes that a node starts, which disturbs what it and others know. */
  void recordStart() {
    disturb(Duration.ZERO);
  }

  private void kill(FuzzedNode node, Duration length) {
    if (node.isUp()) {
      simulation.waiveOutcomes(node);
      node.stop();
      time.after(length, () -> simulation.startNode(node));
    }
  }

  private void pause(FuzzedNode node, Duration length) {
    long run = node.incarnation();
    node.pause();
    simulation.waiveOutcomes(node);
    time.after(
        length,
        () -> {
          if (node.incarnation() == run) {
            node.resume().forEach(event -> simulation.deliver(node, run, event));
          }
        });
  }

  private void drain(FuzzedNode node) {
    simulation.deliver(node, node.incarnation(), new GatewayEvent.DrainRequested());
  }

  /** Stops all nodes one after the other, the next one before the last one has ended. */
  private void rollingRestart() {
    if (time.now()
        .isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD).minus(ROLLING_RESTART_TIME))) {
      return;
    }
    Duration at = Duration.ZERO;
    for (FuzzedNode node : nodes) {
      time.after(at, () -> drain(node));
      at = at.plus(chance.nextDuration(1_000, 1_500));
    }
  }

  /** Callers of all nodes ask for a model that has to be loaded, through the stops of a series. */
  private void burst() {
    String model =
        "m"
            + (GatewayFuzzDeployment.MODEL_COUNT
                + chance.nextInt(GatewayFuzzDeployment.COLD_MODEL_COUNT));
    for (int i = 0; i < BURST_REQUESTS; i++) {
      FuzzedNode node = chance.pick(nodes);
      String kind = chance.pick(GatewayFuzz.STREAMS);
      time.after(
          chance.nextDuration(0, 9_000),
          () -> {
            if (node.acceptsRequests()) {
              simulation.sendRequest(node, kind, model);
            }
          });
    }
  }

  private void changeBehavior(FakeBackend backend, Duration length) {
    FakeBackend.Behavior mood = chance.pick(List.of(FakeBackend.Behavior.values()));
    List<FakeBackend> struck = chance.nextBoolean(ALL_RUNNERS_SHARE) ? backends : List.of(backend);
    struck.forEach(each -> each.setBehavior(mood));
    time.after(
        length, () -> struck.forEach(each -> each.setBehavior(FakeBackend.Behavior.HEALTHY)));
    disturb(length);
  }

  // Accessors

  /** Returns whether bounds of time hold now: nothing was disturbed for some seconds. */
  boolean isCalm() {
    return disturbedUntil.isBefore(time.now().minus(SETTLING_TIME));
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Returns the share of calls whose answer is lost now. */
  double lostAnswerShare() {
    return lostAnswerShare;
  }

  int count() {
    return count;
  }
}
