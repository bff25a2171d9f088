package dev.wisteriarail.core.fleet;

/**
 * A record of the lease on orders, as kept in the platform's store.
 *
 * @param holder the node that wrote it
 * @param incarnation the run of that node
 * @param kind what it says
 */
public record LeaseRecord(String holder, long incarnation, Kind kind) {

  /** What a record says. */
  public enum Kind {
    /** The writer takes the lease; the record's place gives the fencing number. */
    CLAIM,
    /** The writer still holds it. */
    RENEW,
    /** The writer gave it up and gives no more orders. */
    RELEASE
  }
}
