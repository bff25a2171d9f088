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
   * @param idleTimeout the idle time
   */
  record FixedTimeout(Duration idleTimeout) implements PlacementPolicy {}

  /** Unloads only where room is needed, the replica used least recently first. */
  record LeastRecentlyUsed() implements PlacementPolicy {}

  /**
   * Knows the arrivals to come: the bound that no policy can beat by much.
   *
   * @param futureArrivals the arrivals to come
   */
  record Clairvoyant(FutureArrivals futureArrivals) implements PlacementPolicy {}

  /** Returns the policy that a node uses where its settings name none. */
  static PlacementPolicy arrivalDriven() {
    return new ArrivalDriven();
  }

  /**
   * Returns the policy with a name of the settings.
   *
   * @param name {@code default}, {@code fixed-timeout} or {@code lru}
   * @param idleTimeout the idle time of the fixed time-out
   */
  static Optional<PlacementPolicy> named(String name, Duration idleTimeout) {
    return switch (name) {
      case "default" -> Optional.of(new ArrivalDriven());
      case "fixed-timeout" -> Optional.of(new FixedTimeout(idleTimeout));
      case "lru" -> Optional.of(new LeastRecentlyUsed());
      default -> Optional.empty();
    };
  }

  /** Returns a fixed time-out. */
  static PlacementPolicy fixedTimeout(Duration idleTimeout) {
    return new FixedTimeout(idleTimeout);
  }

  /** Returns a new planner without history for this policy. */
  default PlacementPlanner planner() {
    return PolicyPlanner.create(
        switch (this) {
          case ArrivalDriven arrivalDriven -> HistoryKeepAlive.create();
          case FixedTimeout fixed -> IdleTimeKeepAlive.withTimeout(fixed.idleTimeout());
          case LeastRecentlyUsed leastRecentlyUsed -> IdleTimeKeepAlive.withoutTimeout();
          case Clairvoyant clairvoyant -> ClairvoyantKeepAlive.create(clairvoyant.futureArrivals());
        });
  }
}
