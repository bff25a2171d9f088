package dev.wisteriarail.replay;

import java.util.Arrays;
import java.util.Optional;

/** Scenarios that a generated trace adds to an ordinary day of quiet, regular and bursty models. */
public enum Scenario {
  /**
   * An ordinary day: rare requests, regular requests and bursts at rates that follow the time of
   * day.
   */
  DAY("day"),
  /** Every hour, bursts at all nodes for many idle models within a minute. */
  BURSTS("bursts"),
  /** Batch requests of all customers within two hours, as in weekly planning. */
  WEEKLY_PEAK("weekly-peak"),
  /** One customer sends far more requests than all others together. */
  FLOOD("flood"),
  /** The log is down for half an hour. */
  LOG_OUTAGE("log-outage"),
  /** Loads from the weight store take four times as long for an hour. */
  SLOW_STORE("slow-store"),
  /** A third of the model runners crash, one after the other. */
  RUNNERS_LOST("runners-lost");

  private final String label;

  Scenario(String label) {
    this.label = label;
  }

  /** Returns the scenario's name on the command line. */
  public String label() {
    return label;
  }

  /** Returns the scenario with the given name on the command line. */
  public static Optional<Scenario> named(String name) {
    return Arrays.stream(values()).filter(one -> one.label.equals(name)).findFirst();
  }
}
