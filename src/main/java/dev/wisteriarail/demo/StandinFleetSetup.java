package dev.wisteriarail.demo;

/**
 * Sizes and times of the stand-ins of a small deployment.
 *
 * @param engines number of engines; every second one checks fencing numbers
 * @param slots number of requests that an engine batches
 * @param loadMillis duration of a model load, in milliseconds
 * @param tokenMillis time between two chunks of an answer, in milliseconds
 * @param seed seed that determines which answers are lost
 */
public record StandinFleetSetup(
    int engines, int slots, long loadMillis, long tokenMillis, long seed) {

  /** The setup of the demo. */
  public static final StandinFleetSetup DEMO = new StandinFleetSetup(4, 16, 400, 2, 1);

  /** Returns a copy with other times. */
  public StandinFleetSetup withTimes(long newLoadMillis, long newTokenMillis) {
    return new StandinFleetSetup(engines, slots, newLoadMillis, newTokenMillis, seed);
  }

  /** Returns a copy with other numbers of engines and slots. */
  public StandinFleetSetup withEngines(int newEngines, int newSlots) {
    return new StandinFleetSetup(newEngines, newSlots, loadMillis, tokenMillis, seed);
  }
}
