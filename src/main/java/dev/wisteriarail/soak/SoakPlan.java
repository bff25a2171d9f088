package dev.wisteriarail.soak;

import dev.wisteriarail.standin.RunnerStandin;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What a soak does and when; the same seed gives the same plan. Some seeds have planned work only,
 * so that losses which a fault would excuse can be told from others. Immutable.
 *
 * @param plannedOnly whether it holds nothing but planned work
 * @param steps the disturbances, in the order of their times
 */
public record SoakPlan(boolean plannedOnly, List<Step> steps) {

  /** One seed in this many has planned work only. */
  private static final int PLANNED_ONE_IN = 4;

  /** Mean time between two disturbances; they last longer, so they overlap. */
  private static final int PAUSE_MILLIS = 700;

  /** Longest time for which one disturbance lasts. */
  private static final int LONGEST_MILLIS = 3_000;

  /** Time of day of a VM is this far from the true time at most. */
  private static final int CLOCK_MILLIS = 4_000;

  /**
   * A disturbance at a time.
   *
   * @param at time since the start of the soak
   * @param what the disturbance
   */
  public record Step(Duration at, Disturbance what) {}

  /** Copies the list. */
  public SoakPlan {
    steps = List.copyOf(steps);
  }

  /**
   * Draws a plan.
   *
   * @param seed the seed
   * @param length for how long disturbances begin
   * @param nodes number of nodes
   * @param runners number of runners
   */
  public static SoakPlan draw(long seed, Duration length, int nodes, int runners) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean plannedOnly = random.nextInt(PLANNED_ONE_IN) == 0;
    List<Step> steps = new ArrayList<>();
    long at = random.nextInt(PAUSE_MILLIS);
    while (at < length.toMillis()) {
      Disturbance what = draw(random, nodes, runners);
      if (!plannedOnly || what.isPlanned()) {
        steps.add(new Step(Duration.ofMillis(at), what));
        at += random.nextInt(2 * PAUSE_MILLIS);
      }
    }
    return new SoakPlan(plannedOnly, steps);
  }

  private static Disturbance draw(SplittableRandom random, int nodes, int runners) {
    int node = random.nextInt(nodes);
    int runner = random.nextInt(runners);
    long millis = random.nextLong(100, LONGEST_MILLIS);
    return switch (random.nextInt(16)) {
      case 0, 1 -> new Disturbance.NodeStopped(node);
      case 2, 3 ->
          new Disturbance.NodeKilled(
              node, millis / 4, random.nextInt(2 * CLOCK_MILLIS) - CLOCK_MILLIS);
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
          new Disturbance.RunnerMisbehaves(
              runner, pick(random, RunnerStandin.Behaviour.values()), millis);
      default -> {
        Disturbance.Link link = pick(random, Disturbance.Link.values());
        int index = link == Disturbance.Link.RUNNER ? runner : node;
        yield new Disturbance.LinkHarmed(link, index, pick(random, LinkState.values()), millis);
      }
    };
  }

  private static <T> T pick(SplittableRandom random, T[] choices) {
    return choices[random.nextInt(choices.length)];
  }
}
