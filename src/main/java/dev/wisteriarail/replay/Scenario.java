package dev.wisteriarail.replay;

import java.util.Arrays;
import java.util.Optional;

/** What a generated trace holds beside the ordinary day of quiet, regular and bursty models. */
public enum Scenario {
  /** An ordinary day: rare requests, regular ones, bursts, and the rhythm of the day. */
  DAY("day"),
  /** Bursts at all nodes for many idle models within a minute, every hour. */
  BURSTS("bursts"),
  /** Plans of all customers within two hours, as once a week. */
  WEEKLY_PEAK("weekly-peak"),
  /** One customer sends far more than all others together. */
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

  /** Returns the name on the command line. */
  public String label() {
    return label;
  }

  /** Returns the scenario of a name. */
  public static Optional<Scenario> named(String name) {
    return Arrays.stream(values()).filter(one -> one.label.equals(name)).findFirst();
  }
}
