package dev.wisteriarail.fuzz;

import java.time.Duration;
import java.util.List;

/**
 * The actions of a run, fixed before it starts.
 *
 * @param seed seed of the random choices during the run, such as delays
 * @param nodes number of nodes
 * @param randomFaults whether messages, appends, orders and answers fail at random
 * @param length time until all faults end
 * @param actions the actions in order of time
 */
public record Plan(
    long seed, int nodes, boolean randomFaults, Duration length, List<Planned> actions) {

  /** Copies the list. */
  public Plan {
    actions = List.copyOf(actions);
  }

  /**
   * An action and its time.
   *
   * @param at time from the start of the run
   * @param action the action
   */
  public record Planned(Duration at, Action action) {}

  /** Returns the same plan with other actions. */
  public Plan withActions(List<Planned> newActions) {
    return new Plan(seed, nodes, randomFaults, length, newActions);
  }
}
