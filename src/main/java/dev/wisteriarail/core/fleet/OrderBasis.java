package dev.wisteriarail.core.fleet;

import java.util.Set;

/**
 * What an order was decided from: the book of the engine beside its last report.
 *
 * @param reservedAdapterSlots adapters that count against the engine's places
 * @param reportAgeMillis time since the last report was asked for, in milliseconds; -1 if none came
 * @param reportedOrderCount orders that it counted
 * @param reportedAdapters adapters that it listed as loaded
 * @param reportedIncoming adapters that it listed as on their way
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
