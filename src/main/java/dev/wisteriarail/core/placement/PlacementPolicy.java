package dev.wisteriarail.core.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * Policy for idle models: how long they stay loaded, which are evicted first and which are loaded
 * ahead of demand. The order of loads and the choice of runners are the same under every policy.
 */
public sealed interface PlacementPolicy {

  /** Default idle timeout of {@link FixedTimeout}. */
  Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMinutes(5);

  /** Keeps, pre-warms and evicts models according to their arrival history. */
  record ArrivalDriven() implements PlacementPolicy {}

  /**
   * Unloads a replica after a fixed idle time; evicts the least recently used replica first.
   *
   * @param idleTimeout the idle time
   */
  record FixedTimeout(Duration idleTimeout) implements PlacementPolicy {}

  /** Unloads only when memory is needed, the least recently used replica first. */
  record LeastRecentlyUsed() implements PlacementPolicy {}

  /**
   * Decides from the future arrivals. Serves as the bound that no real policy can beat by much.
   *
   * @param futureArrivals the future arrivals
   */
  record Clairvoyant(FutureArrivals futureArrivals) implements PlacementPolicy {}

  /** Returns the default policy, which a node uses if its settings name none. */
  static PlacementPolicy arrivalDriven() {
    return new ArrivalDriven();
  }

  /**
   * Returns the policy with the given name in the settings, or empty if there is none.
   *
   * @param name {@code default}, {@code fixed-timeout} or {@code lru}
   * @param idleTimeout the idle timeout of {@code fixed-timeout}
   */
  static Optional<PlacementPolicy> named(String name, Duration idleTimeout) {
    return switch (name) {
      case "default" -> Optional.of(new ArrivalDriven());
      case "fixed-timeout" -> Optional.of(new FixedTimeout(idleTimeout));
      case "lru" -> Optional.of(new LeastRecentlyUsed());
      default -> Optional.empty();
    };
  }

  /** Returns the policy with a fixed idle timeout. */
  static PlacementPolicy fixedTimeout(Duration idleTimeout) {
    return new FixedTimeout(idleTimeout);
  }

  /** Creates a planner for this policy, without any history. */
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
