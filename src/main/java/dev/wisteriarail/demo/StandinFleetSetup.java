package dev.wisteriarail.demo;

/**
 * Sizes and times of the stand-ins of a small deployment.
 *
 * @param engines number of engines; every second one checks fencing numbers
 * @param slots requests that an engine batches
 * @param loadMillis time of a load, in milliseconds
 * @param tokenMillis time between two pieces of an answer, in milliseconds
 * @param seed decides which answers are lost
 */
public record StandinFleetSetup(
    int engines, int slots, long loadMillis, long tokenMillis, long seed) {

  /** The plan of the demo. */
  public static final StandinFleetSetup DEMO = new StandinFleetSetup(4, 16, 400, 2, 1);

  /** Returns the same plan with other times. */
  public StandinFleetSetup withTimes(long newLoadMillis, long newTokenMillis) {
    return new StandinFleetSetup(engines, slots, newLoadMillis, newTokenMillis, seed);
  }

  /** Returns the same plan with another number of engines and slots. */
  public StandinFleetSetup withEngines(int newEngines, int newSlots) {
    return new StandinFleetSetup(newEngines, newSlots, loadMillis, tokenMillis, seed);
  }
}
