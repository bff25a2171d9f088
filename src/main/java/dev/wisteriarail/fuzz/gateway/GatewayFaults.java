package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.fuzz.Chance;
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
  private static final Duration SETTLING = Duration.ofSeconds(5);

  /** Time before the end of the faults from which no series of stops begins. */
  private static final Duration SERIES = Duration.ofSeconds(5);

  private static final double LOST_ANSWERS = 0.4;
  private static final double ALL_RUNNERS_STRUCK = 0.4;
  private static final int BURST = 30;

  /** Share of the returns from a copy that are followed by the next one within five seconds. */
  private static final double SOON_AGAIN = 0.3;

  /** Share of the runners that say something and leave; the others want a pause. */
  private static final double LEAVING = 0.4;

  private final GatewayFuzz world;
  private final VirtualScheduler time;
  private final Chance chance;
  private final Chance words;
  private final Chance copies;
  private final FakeMetadata store;
  private final List<FuzzedNode> nodes;
  private final List<FakeBackend> backends;
  private Instant disturbedUntil = Instant.EPOCH;
  private boolean storeDown;
  private double lostAnswers;
  private int count;

  GatewayFaults(
      GatewayFuzz world,
      VirtualScheduler time,
      Chance chance,
      Chance words,
      Chance copies,
      FakeMetadata store,
      List<FuzzedNode> nodes,
      List<FakeBackend> backends) {
    this.world = world;
    this.time = time;
    this.chance = chance;
    this.words = words;
    this.copies = copies;
    this.store = store;
    this.nodes = nodes;
    this.backends = backends;
  }

  /** Begins one disturbance and, while the time for them lasts, the next. */
  void disturb() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULTS))) {
      return;
    }
    count++;
    FuzzedNode node = chance.pick(nodes);
    FakeBackend backend = chance.pick(backends);
    Duration length = chance.millis(100, 4_000);
    switch (chance.below(13)) {
      case 0 -> kill(node, length);
      case 1 -> stop(node);
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
        lostAnswers = LOST_ANSWERS;
        time.after(length, () -> lostAnswers = 0);
      }
      case 7 -> {
        backend.crash();
        time.after(length, backend::restart);
      }
      case 8, 9 -> strike(backend, length);
      case 10 -> stopInTurn();
      case 11 -> {
        stopInTurn();
        burst();
        time.after(chance.millis(0, 6_000), () -> strike(backend, length));
      }
      default -> {
        store.compact();
        world.publish();
      }
    }
    disturb(length);
    time.after(chance.millis(200, 2_500), this::disturb);
  }

  private void disturb(Duration length) {
    Instant until = time.now().plus(length);
    disturbedUntil = until.isAfter(disturbedUntil) ? until : disturbedUntil;
  }

  /** Lets a runner say something of itself in its answers, and then the next one. */
  void speak() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULTS))) {
      return;
    }
    FakeBackend backend = words.pick(backends);
    Duration length = words.millis(500, 4_000);
    if (words.happens(LEAVING)) {
      backend.sayLeaving();
      time.after(length, backend::crash);
      time.after(length.plus(words.millis(100, 2_000)), backend::restart);
    } else {
      backend.pauseUntil(time.now().plus(length));
    }
    disturb(length);
    time.after(words.millis(500, 4_000), this::speak);
  }

  /** Lets the store be away for a moment and come back from a copy, and then again. */
  void restoreStore() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULTS))) {
      return;
    }
    Duration away = copies.millis(0, 800);
    storeDown = true;
    time.after(
        away,
        () -> {
          storeDown = false;
          store.restore(time.now().minus(copies.millis(200, 5_000)));
          time.after(copies.millis(100, 2_000), world::publishAgain);
          disturb(Duration.ofSeconds(2));
        });
    disturb(away);
    boolean soon = copies.happens(SOON_AGAIN);
    time.after(copies.millis(soon ? 1_000 : 4_000, soon ? 5_000 : 14_000), this::restoreStore);
  }

  /** Notes that a node starts, which disturbs what it and others know. */
  void noteStart() {
    disturb(Duration.ZERO);
  }

  private void kill(FuzzedNode node, Duration length) {
    if (node.isUp()) {
      world.release(node);
      node.stop();
      time.after(length, () -> world.startNode(node));
    }
  }

  private void pause(FuzzedNode node, Duration length) {
    long run = node.run();
    node.pause();
    world.release(node);
    time.after(
        length,
        () -> {
          if (node.run() == run) {
            node.resume().forEach(event -> world.deliver(node, run, event));
          }
        });
  }

  private void stop(FuzzedNode node) {
    world.deliver(node, node.run(), new GatewayEvent.DrainRequested());
  }

  /** Stops all nodes one after the other, the next one before the last one has ended. */
  private void stopInTurn() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULTS).minus(SERIES))) {
      return;
    }
    Duration at = Duration.ZERO;
    for (FuzzedNode node : nodes) {
      time.after(at, () -> stop(node));
      at = at.plus(chance.millis(1_000, 1_500));
    }
  }

  /** Callers of all nodes ask for a model that has to be loaded, through the stops of a series. */
  private void burst() {
    String model = "m" + (GatewayFuzzPlan.MODELS + chance.below(GatewayFuzzPlan.COLD_MODELS));
    for (int i = 0; i < BURST; i++) {
      FuzzedNode node = chance.pick(nodes);
      String kind = chance.pick(GatewayFuzz.STREAMS);
      time.after(
          chance.millis(0, 9_000),
          () -> {
            if (node.takesKept()) {
              world.ask(node, kind, model);
            }
          });
    }
  }

  private void strike(FakeBackend backend, Duration length) {
    FakeBackend.Mood mood = chance.pick(List.of(FakeBackend.Mood.values()));
    List<FakeBackend> struck = chance.happens(ALL_RUNNERS_STRUCK) ? backends : List.of(backend);
    struck.forEach(each -> each.setMood(mood));
    time.after(length, () -> struck.forEach(each -> each.setMood(FakeBackend.Mood.SOUND)));
    disturb(length);
  }

  // Accessors

  /** Returns whether bounds of time hold now: nothing was disturbed for some seconds. */
  boolean isCalm() {
    return disturbedUntil.isBefore(time.now().minus(SETTLING));
  }

  boolean isStoreDown() {
    return storeDown;
  }

  /** Returns the share of calls whose answer is lost now. */
  double lostAnswers() {
    return lostAnswers;
  }

  int count() {
    return count;
  }
}
