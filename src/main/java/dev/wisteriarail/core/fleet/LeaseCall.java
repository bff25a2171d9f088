package dev.wisteriarail.core.fleet;

/** A call to the platform's store that the lease on orders needs. */
public sealed interface LeaseCall {

  /**
   * Reads records.
   *
   * @param from offset of the first one
   */
  record Read(long from) implements LeaseCall {}

  /**
   * Appends a record if nothing was appended since.
   *
   * @param at the offset that the record must get
   * @param record the record
   */
  record Append(long at, LeaseRecord record) implements LeaseCall {}
}
