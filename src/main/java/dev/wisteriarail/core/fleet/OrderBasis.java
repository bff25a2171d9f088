package dev.wisteriarail.core.fleet;

import java.util.Set;

/**
 * What an order was decided from: the book of the engine beside its last report.
 *
 * @param placesBooked adapters that count against the engine's places
 * @param reportAgeMillis time since the last report was asked for, in milliseconds; -1 if none came
 * @param reportOrders orders that it counted
 * @param reportPlaces adapters that it listed as loaded
 * @param reportIncoming adapters that it listed as on their way
 */
public record OrderBasis(
    int placesBooked,
    long reportAgeMillis,
    long reportOrders,
    int reportPlaces,
    Set<String> reportIncoming) {

  /** Copies the set. */
  public OrderBasis {
    reportIncoming = Set.copyOf(reportIncoming);
  }
}
