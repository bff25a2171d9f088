package dev.wisteriarail.core.fleet;

/** A call to the platform's store, made for the order lease. */
public sealed interface LeaseCall {

  /**
   * Reads records.
   *
   * @param from offset of the first record
   */
  record Read(long from) implements LeaseCall {}

  /**
   * Appends a record on the condition that no other record was appended in the meantime.
   *
   * @param at the offset that the record must get
   * @param record the record
   */
  record Append(long at, LeaseRecord record) implements LeaseCall {}
}
