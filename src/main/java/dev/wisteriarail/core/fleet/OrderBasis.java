package dev.wisteriarail.core.fleet;

import java.util.Set;

/**
 * The state that an order was based on: the occupancy tracked by the coordinator, next to the
 * engine's last report.
 *
 * @param reservedAdapterSlots adapters that count against the engine's adapter slots
 * @param reportAgeMillis time since the last report was requested, in milliseconds; -1 if there was
 *     none
 * @param reportedOrderCount number of orders in the report
 * @param reportedAdapters number of adapters that the report lists as loaded
 * @param reportedIncoming adapters that the report lists as being loaded
 */
public record OrderBasis(
    int reservedAdapterSlots,
    long reportAgeMillis,
    long reportedOrderCount,
    int reportedAdapters,
    Set<String> reportedIncoming) {

  /** Copies the set. */
  public OrderBasis {
    reportedIncoming = Set.copyOf(reportedIncoming);
  }
}
