package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Injects faults: of nodes, links, the store and runners, rolling restarts, and bursts of requests.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class GatewayFaults {

  /** Time after a fault during which time bounds are not checked. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(5);

  /** The platform's {@code stability_window_ms}. */
  private static final Duration STABILITY_WINDOW = Duration.ofSeconds(3);

  /** A rolling restart must begin at least this long before the end of the fault period. */
  private static final Duration ROLLING_RESTART_TIME = Duration.ofSeconds(5);

  private static final double LOST_ANSWER_SHARE = 0.4;
  private static final double ALL_RUNNERS_SHARE = 0.4;
  private static final int BURST_REQUESTS = 30;

  /** Share of the store restores that are followed by another one within five seconds. */
  private static final double EARLY_RESTORE_SHARE = 0.3;

  /** Share of the runner notifications that announce leaving; the others ask for a pause. */
  private static final double LEAVING_SHARE = 0.4;

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final SeededRandom random;
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
      GatewayFuzz simulation,
      VirtualScheduler time,
      SeededRandom random,
      SeededRandom notificationRandom,
      SeededRandom restoreRandom,
      FakeMetadataStore store,
      List<FuzzedNode> nodes,
      List<FakeBackend> backends) {
    this.simulation = simulation;
    this.time = time;
    this.random = random;
    this.notificationRandom = notificationRandom;
    this.restoreRandom = restoreRandom;
    this.store = store;
    this.nodes = nodes;
    this.backends = backends;
  }

  /** Injects a fault and schedules the next one, until the fault period ends. */
  void disturb() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    count++;
    FuzzedNode node = random.pick(nodes);
    FakeBackend backend = random.pick(backends);
    Duration length = random.nextDuration(100, 4_000);
    switch (random.nextInt(13)) {
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
        time.after(random.nextDuration(0, 6_000), () -> changeBehavior(backend, length));
      }
      default -> {
        store.compact();
        simulation.publish();
      }
    }
    disturb(length);
    time.after(random.nextDuration(200, 2_500), this::disturb);
  }

  private void disturb(Duration length) {
    Instant until = time.now().plus(length);
    disturbedUntil = until.isAfter(disturbedUntil) ? until : disturbedUntil;
  }

  /** Lets a runner announce leaving or a pause in its answers, and schedules the next one. */
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

  /**
   * Takes the store down briefly, restores it from an older copy, and schedules the next restore.
   */
  void restoreStore() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    Duration downtime = restoreRandom.nextDuration(0, 800);
    storeDown = true;
    time.after(
        downtime,
        () -> {
          storeDown = false;
          store.restore(time.now().minus(restoreRandom.nextDuration(200, 5_000)));
          time.after(restoreRandom.nextDuration(100, 2_000), simulation::publishAgain);
          disturb(Duration.ofSeconds(2));
        });
    disturb(downtime);
    boolean soon = restoreRandom.nextBoolean(EARLY_RESTORE_SHARE);
    time.after(
        restoreRandom.nextDuration(soon ? 1_000 : 4_000, soon ? 5_000 : 14_000),
        this::restoreStore);
  }

  /** Records the start of a node, after which views of the fleet are out of date for a moment. */
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
    long incarnation = node.incarnation();
    node.pause();
    simulation.waiveOutcomes(node);
    time.after(
        length,
        () -> {
          if (node.incarnation() == incarnation) {
            node.resume().forEach(event -> simulation.deliver(node, incarnation, event));
          }
        });
  }

  private void drain(FuzzedNode node) {
    simulation.deliver(node, node.incarnation(), new GatewayEvent.DrainRequested());
  }

  /** Drains all nodes in turn; each drain begins before the previous one has completed. */
  private void rollingRestart() {
    if (time.now()
        .isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD).minus(ROLLING_RESTART_TIME))) {
      return;
    }
    Duration at = Duration.ZERO;
    for (FuzzedNode node : nodes) {
      time.after(at, () -> drain(node));
      at = at.plus(random.nextDuration(1_000, 1_500));
    }
  }

  /** Sends requests for a model that is not loaded to all nodes during a rolling restart. */
  private void burst() {
    String model =
        "m"
            + (GatewayFuzzDeployment.MODEL_COUNT
                + random.nextInt(GatewayFuzzDeployment.COLD_MODEL_COUNT));
    for (int i = 0; i < BURST_REQUESTS; i++) {
      FuzzedNode node = random.pick(nodes);
      String kind = random.pick(GatewayFuzz.STREAMS);
      time.after(
          random.nextDuration(0, 9_000),
          () -> {
            if (node.acceptsRequests()) {
              simulation.callers().sendRequest(node, kind, model);
            }
          });
    }
  }

  private void changeBehavior(FakeBackend backend, Duration length) {
    FakeBackend.Behavior mood = random.pick(List.of(FakeBackend.Behavior.values()));
    List<FakeBackend> affected =
        random.nextBoolean(ALL_RUNNERS_SHARE) ? backends : List.of(backend);
    affected.forEach(each -> each.setBehavior(mood));
    time.after(
        length, () -> affected.forEach(each -> each.setBehavior(FakeBackend.Behavior.HEALTHY)));
    disturb(length);
  }

  // Accessors

  /** Returns whether time bounds can be checked: no fault was active for some seconds. */
  boolean isCalm() {
    return disturbedUntil.isBefore(time.now().minus(SETTLING_TIME));
  }

  /**
   * Returns whether a node reaches its peers and has run for the platform's stability window. Rules
   * with a time bound hold only for nodes that have.
   */
  boolean isNodeCalm(FuzzedNode node) {
    return !node.isPeersCut() && node.hasRunFor(STABILITY_WINDOW, time.now());
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Returns the current share of calls whose answer is lost. */
  double lostAnswerShare() {
    return lostAnswerShare;
  }

  int count() {
    return count;
  }
}
