package dev.wisteriarail.soak;

import dev.wisteriarail.standin.OddEntries;
import dev.wisteriarail.standin.PlatformStandin;
import dev.wisteriarail.standin.RunnerStandin;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The disturbances of a soak with their times; the same seed gives the same plan. Some seeds allow
 * only planned operations, so that no fault can excuse a lost request. Immutable.
 *
 * @param planType which kinds of disturbances the plan allows
 * @param stopLimit time from SIGTERM until a node must exit
 * @param steps the disturbances in order of time
 */
public record SoakPlan(PlanType planType, Duration stopLimit, List<Step> steps) {

  /** One seed in this many has only planned operations. */
  private static final int PLANNED_ONE_IN = 4;

  /** Of the other seeds, one in this many has planned operations and slow or full runners. */
  private static final int SLOW_RUNNERS_ONE_IN = 3;

  /** Of the remaining seeds, one in this many has requests that crash runners. */
  private static final int CRASHING_ONE_IN = 5;

  /** Stop limits of nodes: a short one and the users' grace period. */
  private static final List<Duration> STOP_LIMITS =
      List.of(Duration.ofSeconds(4), Duration.ofSeconds(8));

  /** Minimum time between the stops of two nodes in a rolling restart. */
  private static final int MIN_ROLL_INTERVAL_MILLIS = 1_000;

  /** Maximum time between the stops of two nodes in a rolling restart. */
  private static final int MAX_ROLL_INTERVAL_MILLIS = 1_500;

  /** One disturbance in this many is a rolling restart. */
  private static final int ROLLING_RESTART_ONE_IN = 10;

  private static final int NODES_BETWEEN_BURSTS = 3;

  /** Number of callers per node in a burst. */
  private static final int BURST_CALLERS = 6;

  /** Number of large models that bursts request. */
  private static final int LARGE_MODELS = 2;

  /** Mean time between the starts of two disturbances, which can last longer and overlap. */
  private static final int MEAN_INTERVAL_MILLIS = 700;

  /**
   * Mean time between two notifications by runners, which announce that they leave or ask for a
   * pause.
   */
  private static final int MEAN_NOTIFICATION_INTERVAL_MILLIS = 3_000;

  /** Mean time between two restores of the store from a copy. */
  private static final int MEAN_RESTORE_INTERVAL_MILLIS = 3_000;

  /** Added to the seed to draw the restores independently of the other steps. */
  private static final long RESTORE_SEED_OFFSET = 1L << 40;

  /** Mean time between the starts of two silences of runners. */
  private static final int MEAN_SILENCE_INTERVAL_MILLIS = 1_500;

  /** Added to the seed to draw the silences of runners independently of the other steps. */
  private static final long SILENCE_SEED_OFFSET = 1L << 41;

  /** Mean time between two odd entries in the directory. */
  private static final int MEAN_ODD_ENTRY_INTERVAL_MILLIS = 1_000;

  /** Added to the seed to draw the odd entries independently of the other steps. */
  private static final long ENTRY_SEED_OFFSET = 1L << 42;

  /** Mean time between two changes of settings while a node starts. */
  private static final int MEAN_CHANGE_IN_START_INTERVAL_MILLIS = 4_000;

  /** Maximum time from a starting node's first event until its SIGHUP. */
  private static final int MAX_CHANGE_DELAY_MILLIS = 400;

  /** Added to the seed to draw the changes in starts independently of the other steps. */
  private static final long CHANGE_IN_START_SEED_OFFSET = 1L << 43;

  /** Added to the seed to draw a plan for runners that check no fencing numbers. */
  private static final long CUT_SEED_OFFSET = 1L << 44;

  /**
   * Minimum duration of a cut: the lease of the node that is cut off expires, another node claims
   * it and waits for the handover before it orders the same runners.
   */
  private static final int MIN_CUT_MILLIS = 7_000;

  private static final int MAX_CUT_MILLIS = 10_000;

  /** Maximum time between two bursts around a cut, which make both nodes give orders. */
  private static final int MAX_CUT_BURST_INTERVAL_MILLIS = 600;

  /** Callers per node in such a burst. */
  private static final int CUT_BURST_CALLERS = 2;

  /** Upper bound of the duration of most disturbances. */
  private static final int MAX_DURATION_MILLIS = 3_000;

  /** Maximum offset of a VM's wall clock from the true time. */
  private static final int MAX_CLOCK_OFFSET_MILLIS = 4_000;

  /**
   * A disturbance and its start.
   *
   * @param at time since the start of the soak
   * @param disturbance the disturbance
   */
  public record Step(Duration at, Disturbance disturbance) {}

  /**
   * Behaviours that {@link #drawDisturbance} draws; {@link #drawRunnerNotifications} and {@link
   * #drawSilences} draw the rest.
   */
  private static final RunnerStandin.Behaviour[] DRAWN_BEHAVIOURS =
      Arrays.stream(RunnerStandin.Behaviour.values())
          .filter(behaviour -> behaviour != RunnerStandin.Behaviour.PAUSING)
          .filter(behaviour -> behaviour != RunnerStandin.Behaviour.SILENT_FOR_A_SECOND)
          .toArray(RunnerStandin.Behaviour[]::new);

  /** Link states that {@link #drawDisturbance} draws; its seeds keep their plans. */
  private static final LinkState[] DRAWN_LINK_STATES =
      Arrays.stream(LinkState.values())
          .filter(state -> state != LinkState.HELD)
          .toArray(LinkState[]::new);

  /** The kinds of disturbances that a plan allows. */
  public enum PlanType {
    /** All disturbances. */
    FAULTS,
    /** Only planned operations, so that no request may be lost. */
    PLANNED,
    /**
     * Requests that crash runners, beside planned operations, killed nodes and other crashes. All
     * nodes reach each other, so that they share what they know.
     */
    CRASHING_REQUESTS,
    /** Planned operations, and runners that are full, silent or slow. */
    PLANNED_WITH_SLOW_RUNNERS,
    /** Runners that check no fencing numbers, and nodes that are cut off while they give orders. */
    UNCHECKED_FENCES
  }

  /** Copies the list. */
  public SoakPlan {
    steps = List.copyOf(steps);
  }

  /**
   * Draws a plan.
   *
   * @param seed the seed
   * @param length period in which disturbances start
   * @param nodes number of nodes
   * @param runners number of runners
   */
  public static SoakPlan draw(long seed, Duration length, int nodes, int runners) {
    SplittableRandom random = new SplittableRandom(seed);
    PlanType drawn = drawPlanType(random);
    PlanType planType =
        drawn == PlanType.FAULTS && Math.floorMod(seed, CRASHING_ONE_IN) == 0
            ? PlanType.CRASHING_REQUESTS
            : drawn;
    final Duration stopLimit = STOP_LIMITS.get(random.nextInt(STOP_LIMITS.size()));
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      if (random.nextInt(ROLLING_RESTART_ONE_IN) == 0) {
        steps.addAll(drawRollingRestart(random, at, nodes, runners, planType));
        at += random.nextInt(2 * MEAN_INTERVAL_MILLIS);
        continue;
      }
      Disturbance disturbance = drawDisturbance(random, nodes, runners);
      if (allows(planType, disturbance)) {
        steps.add(new Step(Duration.ofMillis(at), disturbance));
        at += random.nextInt(2 * MEAN_INTERVAL_MILLIS);
      }
    }
    if (planType == PlanType.FAULTS) {
      steps.addAll(drawRunnerNotifications(new SplittableRandom(~seed), length, runners));
      steps.addAll(drawStoreRestores(new SplittableRandom(seed + RESTORE_SEED_OFFSET), length));
    }
    steps.addAll(drawStepsOfAllPlans(seed, length, nodes, runners));
    steps.sort(Comparator.comparing(Step::at));
    return new SoakPlan(planType, stopLimit, steps);
  }

  /**
   * Draws a plan of the type {@link PlanType#UNCHECKED_FENCES}, which {@link #draw} never draws:
   * its runners differ from those of the other types.
   *
   * @param seed the seed
   * @param length period in which disturbances start
   * @param nodes number of nodes
   * @param runners number of runners
   */
  public static SoakPlan drawWithUncheckedFences(
      long seed, Duration length, int nodes, int runners) {
    SplittableRandom random = new SplittableRandom(seed + CUT_SEED_OFFSET);
    List<Step> steps = new ArrayList<>();
    long cutAt = random.nextInt(MAX_DURATION_MILLIS);
    while (cutAt < length.toMillis()) {
      int millis = random.nextInt(MIN_CUT_MILLIS, MAX_CUT_MILLIS);
      steps.add(new Step(Duration.ofMillis(cutAt), new Disturbance.OrderingNodeCutOff(millis)));
      cutAt += millis + random.nextInt(MAX_DURATION_MILLIS, 2 * MAX_DURATION_MILLIS);
    }
    for (long at = 0;
        at < cutAt - MAX_DURATION_MILLIS;
        at += random.nextInt(MAX_CUT_BURST_INTERVAL_MILLIS)) {
      int model = random.nextInt(PlatformStandin.FIRST_LARGE_MODEL);
      steps.add(new Step(Duration.ofMillis(at), new Disturbance.Burst(model, CUT_BURST_CALLERS)));
    }
    steps.addAll(drawStepsOfAllPlans(seed, length, nodes, runners));
    steps.sort(Comparator.comparing(Step::at));
    return new SoakPlan(PlanType.UNCHECKED_FENCES, STOP_LIMITS.getLast(), steps);
  }

  private static List<Step> drawStepsOfAllPlans(
      long seed, Duration length, int nodes, int runners) {
    List<Step> steps = new ArrayList<>();
    steps.addAll(drawSilences(new SplittableRandom(seed + SILENCE_SEED_OFFSET), length, runners));
    steps.addAll(drawOddEntries(new SplittableRandom(seed + ENTRY_SEED_OFFSET), length, runners));
    steps.addAll(
        drawChangesInStarts(
            new SplittableRandom(seed + CHANGE_IN_START_SEED_OFFSET), length, nodes));
    return steps;
  }

  /**
   * Draws runner notifications from a separate random source, so that seeds of known failures keep
   * their other steps.
   */
  private static List<Step> drawRunnerNotifications(
      SplittableRandom random, Duration length, int runners) {
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_NOTIFICATION_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      int runner = random.nextInt(runners);
      long millis = random.nextLong(100, MAX_DURATION_MILLIS);
      Disturbance disturbance =
          random.nextBoolean()
              ? new Disturbance.RunnerLeaves(runner, millis, millis / 4)
              : new Disturbance.RunnerMisbehaves(runner, RunnerStandin.Behaviour.PAUSING, millis);
      steps.add(new Step(Duration.ofMillis(at), disturbance));
      at += random.nextInt(2 * MEAN_NOTIFICATION_INTERVAL_MILLIS);
    }
    return steps;
  }

  /**
   * Draws restores of the store, also from a separate random source; two of them may start within
   * five seconds.
   */
  private static List<Step> drawStoreRestores(SplittableRandom random, Duration length) {
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_RESTORE_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      Disturbance disturbance =
          new Disturbance.StoreRestored(
              random.nextLong(MAX_DURATION_MILLIS / 4),
              random.nextLong(200, 2 * MAX_DURATION_MILLIS),
              random.nextLong(100, MAX_DURATION_MILLIS / 2));
      steps.add(new Step(Duration.ofMillis(at), disturbance));
      at += random.nextInt(1_000, 2 * MEAN_RESTORE_INTERVAL_MILLIS);
    }
    return steps;
  }

  /** Draws the silences of sound runners from a separate random source. */
  private static List<Step> drawSilences(SplittableRandom random, Duration length, int runners) {
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_SILENCE_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      Disturbance disturbance =
          new Disturbance.RunnerFallsSilent(
              random.nextInt(runners), random.nextLong(100, MAX_DURATION_MILLIS));
      steps.add(new Step(Duration.ofMillis(at), disturbance));
      at += random.nextInt(2 * MEAN_SILENCE_INTERVAL_MILLIS);
    }
    return steps;
  }

  /** Draws odd directory entries from a separate random source, half of them under new names. */
  private static List<Step> drawOddEntries(SplittableRandom random, Duration length, int runners) {
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_ODD_ENTRY_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      int runner =
          random.nextBoolean() ? Disturbance.OddEntryWritten.NEW_RUNNER : random.nextInt(runners);
      int entry = random.nextInt(OddEntries.count());
      steps.add(
          new Step(
              Duration.ofMillis(at),
              new Disturbance.OddEntryWritten(
                  entry, runner, random.nextLong(100, MAX_DURATION_MILLIS))));
      at += random.nextInt(2 * MEAN_ODD_ENTRY_INTERVAL_MILLIS);
    }
    return steps;
  }

  /** Draws changes of settings in starts of nodes from a separate random source. */
  private static List<Step> drawChangesInStarts(
      SplittableRandom random, Duration length, int nodes) {
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(MEAN_CHANGE_IN_START_INTERVAL_MILLIS);
    while (at < length.toMillis()) {
      Disturbance disturbance =
          new Disturbance.SettingsChangedInStart(
              random.nextInt(nodes), random.nextLong(MAX_CHANGE_DELAY_MILLIS));
      steps.add(new Step(Duration.ofMillis(at), disturbance));
      at += random.nextInt(2 * MEAN_CHANGE_IN_START_INTERVAL_MILLIS);
    }
    return steps;
  }

  private static PlanType drawPlanType(SplittableRandom random) {
    if (random.nextInt(PLANNED_ONE_IN) == 0) {
      return PlanType.PLANNED;
    }
    boolean slow = random.nextInt(SLOW_RUNNERS_ONE_IN) == 0;
    return slow ? PlanType.PLANNED_WITH_SLOW_RUNNERS : PlanType.FAULTS;
  }

  private static boolean allows(PlanType planType, Disturbance disturbance) {
    return switch (planType) {
      case FAULTS -> true;
      case UNCHECKED_FENCES -> false;
      case PLANNED -> disturbance.isPlanned();
      case CRASHING_REQUESTS ->
          disturbance.isPlanned()
              || disturbance instanceof Disturbance.NodeKilled
              || disturbance instanceof Disturbance.RunnerCrashed;
      case PLANNED_WITH_SLOW_RUNNERS ->
          disturbance.isPlanned()
              || (disturbance instanceof Disturbance.RunnerMisbehaves bad && bad.isLossless());
    };
  }

  /**
   * Draws a rolling restart: all nodes are stopped in turn, each before the previous one has
   * exited, while callers request a model that has to be loaded. A runner may be silent meanwhile.
   */
  private static List<Step> drawRollingRestart(
      SplittableRandom random, long start, int nodes, int runners, PlanType planType) {
    List<Step> steps = new ArrayList<>();
    long at = start;
    for (int node = 0; node < nodes; node++) {
      steps.add(new Step(Duration.ofMillis(at), new Disturbance.NodeStopped(node)));
      if (node % NODES_BETWEEN_BURSTS == 0) {
        steps.add(new Step(Duration.ofMillis(at), drawBurst(random)));
      }
      at += random.nextInt(MIN_ROLL_INTERVAL_MILLIS, MAX_ROLL_INTERVAL_MILLIS);
    }
    if (planType != PlanType.PLANNED) {
      steps.add(
          new Step(
              Duration.ofMillis(start + random.nextInt(MAX_ROLL_INTERVAL_MILLIS)),
              new Disturbance.RunnerMisbehaves(
                  random.nextInt(runners),
                  RunnerStandin.Behaviour.SILENT,
                  random.nextLong(MAX_DURATION_MILLIS, 2 * MAX_DURATION_MILLIS))));
    }
    return steps;
  }

  private static Disturbance drawBurst(SplittableRandom random) {
    int model = PlatformStandin.FIRST_LARGE_MODEL + random.nextInt(LARGE_MODELS);
    return new Disturbance.Burst(model, BURST_CALLERS);
  }

  private static Disturbance drawDisturbance(SplittableRandom random, int nodes, int runners) {
    int node = random.nextInt(nodes);
    int runner = random.nextInt(runners);
    long millis = random.nextLong(100, MAX_DURATION_MILLIS);
    return switch (random.nextInt(17)) {
      case 0, 1 -> new Disturbance.NodeStopped(node);
      case 2, 3 ->
          new Disturbance.NodeKilled(
              node,
              millis / 4,
              random.nextInt(2 * MAX_CLOCK_OFFSET_MILLIS) - MAX_CLOCK_OFFSET_MILLIS);
      case 4 ->
          random.nextInt(4) == 0
              ? new Disturbance.AllKilled(millis / 4)
              : new Disturbance.NodePaused(node, millis);
      case 5 -> new Disturbance.NodePaused(node, millis);
      case 6 -> new Disturbance.SettingsChanged(node);
      case 7 -> new Disturbance.ConfigurationPublished();
      case 8 -> new Disturbance.StoreHarmed(pick(random, Disturbance.StoreHarm.values()), millis);
      case 9 -> new Disturbance.StoreCompacted();
      case 10 -> new Disturbance.RunnerCrashed(runner, millis);
      case 11, 12 ->
          new Disturbance.RunnerMisbehaves(runner, pick(random, DRAWN_BEHAVIOURS), millis);
      case 13 -> drawBurst(random);
      default -> {
        Disturbance.Link link = pick(random, Disturbance.Link.values());
        int index = link == Disturbance.Link.RUNNER ? runner : node;
        yield new Disturbance.LinkHarmed(link, index, pick(random, DRAWN_LINK_STATES), millis);
      }
    };
  }

  private static <T> T pick(SplittableRandom random, T[] choices) {
    return choices[random.nextInt(choices.length)];
  }
}
