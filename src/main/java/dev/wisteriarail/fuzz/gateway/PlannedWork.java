package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Planned work without faults of nodes, links or the store: rolling restarts, configurations in
 * series, and runners that are full, failing, have long streams or leave. Runners also fall silent
 * for about a second and go on.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class PlannedWork {

  private static final Duration FIRST_WORK_AT = Duration.ofSeconds(4);

  /** A rolling restart begins at least this long before the end of the fault period. */
  private static final Duration ROLLING_RESTART_TIME = Duration.ofSeconds(6);

  /** Number of configurations in a series. */
  private static final int CHANGES_IN_SERIES = 3;

  /** Share of the silences that affect all runners but one. */
  private static final double MOST_RUNNERS_SHARE = 0.2;

  private static final List<FakeBackend.Behavior> BEHAVIORS =
      List.of(
          FakeBackend.Behavior.FULL,
          FakeBackend.Behavior.FULL,
          FakeBackend.Behavior.FAILING,
          FakeBackend.Behavior.LONG_STREAMS);

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final SeededRandom random;
  private final SeededRandom silenceRandom;
  private final List<FuzzedNode> nodes;
  private final List<FakeBackend> backends;

  PlannedWork(
      GatewayFuzz simulation,
      VirtualScheduler time,
      SeededRandom random,
      SeededRandom silenceRandom,
      List<FuzzedNode> nodes,
      List<FakeBackend> backends) {
    this.simulation = simulation;
    this.time = time;
    this.random = random;
    this.silenceRandom = silenceRandom;
    this.nodes = nodes;
    this.backends = backends;
  }

  void start() {
    time.after(FIRST_WORK_AT, this::restartNodes);
    time.after(FIRST_WORK_AT, this::changeConfiguration);
    time.after(FIRST_WORK_AT, this::changeRunner);
  }

  /** Lets runners fall silent now and then; drawn apart from all other work. */
  void startSilences() {
    time.after(FIRST_WORK_AT, this::silenceRunners);
  }

  private boolean isOver(Duration timeNeeded) {
    return time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD).minus(timeNeeded));
  }

  private void restartNodes() {
    if (isOver(ROLLING_RESTART_TIME)) {
      return;
    }
    Duration at = Duration.ZERO;
    for (FuzzedNode node : nodes) {
      time.after(at, () -> simulation.stopNode(node));
      at = at.plus(random.nextDuration(1_000, 1_500));
    }
    time.after(at.plus(random.nextDuration(4_000, 8_000)), this::restartNodes);
  }

  private void changeConfiguration() {
    if (isOver(Duration.ZERO)) {
      return;
    }
    Duration at = Duration.ZERO;
    for (int i = 0; i < CHANGES_IN_SERIES; i++) {
      time.after(at, simulation::publish);
      at = at.plus(random.nextDuration(20, 300));
    }
    time.after(random.nextDuration(4_000, 8_000), this::changeConfiguration);
  }

  private void changeRunner() {
    if (isOver(Duration.ZERO)) {
      return;
    }
    FakeBackend backend = random.pick(backends);
    Duration length = random.nextDuration(500, 4_000);
    if (random.nextBoolean(0.2)) {
      backend.announceLeaving();
      time.after(length.plusSeconds(4), backend::crash);
      time.after(length.plusSeconds(5), backend::restart);
    } else {
      backend.setBehavior(random.pick(BEHAVIORS));
      time.after(length, () -> backend.setBehavior(FakeBackend.Behavior.HEALTHY));
    }
    time.after(random.nextDuration(300, 2_500), this::changeRunner);
  }

  private void silenceRunners() {
    if (isOver(Duration.ZERO)) {
      return;
    }
    FakeBackend picked = silenceRandom.pick(backends);
    boolean most = silenceRandom.nextBoolean(MOST_RUNNERS_SHARE);
    Instant until = time.now().plus(silenceRandom.nextDuration(1_000, 1_300));
    backends.stream()
        .filter(backend -> (backend == picked) != most)
        .forEach(backend -> backend.fallSilentUntil(until));
    time.after(silenceRandom.nextDuration(400, 2_000), this::silenceRunners);
  }
}
