package dev.wisteriarail.core.placement;

import java.time.Duration;
import java.util.Optional;

/** The choices of policy for idle models. Load order and placement are the same under each. */
public sealed interface PlacementPolicy {

  /** Idle time after which the fixed time-out unloads where none is named. */
  Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMinutes(5);

  /** Keeps, loads ahead and evicts by each model's own arrival history. */
  record ArrivalDriven() implements PlacementPolicy {}

  /**
   * Unloads a replica after a fixed idle time; evicts the one used least recently.
   *
   * @param idle the idle time
   */
  record FixedTimeout(Duration idle) implements PlacementPolicy {}

  /** Unloads only where room is needed, the replica used least recently first. */
  record LeastRecentlyUsed() implements PlacementPolicy {}

  /**
   * Knows the arrivals to come: the bound that no policy can beat by much.
   *
   * @param foresight the arrivals to come
   */
  record Clairvoyant(Foresight foresight) implements PlacementPolicy {}

  /** Returns the policy that a node uses where its settings name none. */
  static PlacementPolicy arrivalDriven() {
    return new ArrivalDriven();
  }

  /**
   * Returns the policy with a name of the settings.
   *
   * @param name {@code default}, {@code fixed-timeout} or {@code lru}
   * @param idle the idle time of the fixed time-out
   */
  static Optional<PlacementPolicy> named(String name, Duration idle) {
    return switch (name) {
      case "default" -> Optional.of(new ArrivalDriven());
      case "fixed-timeout" -> Optional.of(new FixedTimeout(idle));
      case "lru" -> Optional.of(new LeastRecentlyUsed());
      default -> Optional.empty();
    };
  }

  /** Returns a fixed time-out. */
  static PlacementPolicy fixedTimeout(Duration idle) {
    return new FixedTimeout(idle);
  }

  /** Returns a new planner without history for this policy. */
  default PlacementPlanner planner() {
    return PolicyPlanner.create(
        switch (this) {
          case ArrivalDriven arrivalDriven -> HistoryResidency.create();
          case FixedTimeout fixed -> RecencyResidency.withTimeout(fixed.idle());
          case LeastRecentlyUsed leastRecentlyUsed -> RecencyResidency.withoutTimeout();
          case Clairvoyant clairvoyant -> ForesightResidency.create(clairvoyant.foresight());
        });
  }
}
