package dev.wisteriarail.core.fleet;

import java.util.List;

/** What became of a call for the lease on orders. */
public sealed interface LeaseAnswer {

  /**
   * Records were read.
   *
   * @param end offset after the last record that the store holds
   * @param first offset of the first record that the store still holds
   * @param from offset of the first record in the list
   * @param records the records, oldest first; unreadable ones are left out
   */
  record Records(long end, long first, long from, List<LeaseRecord> records)
      implements LeaseAnswer {

    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The record was appended.
   *
   * @param offset its offset
   */
  record Appended(long offset) implements LeaseAnswer {}

  /**
   * Another record was appended before.
   *
   * @param end offset after the last record
   */
  record Overtaken(long end) implements LeaseAnswer {}

  /**
   * Nothing was done, or it is not known.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements LeaseAnswer {}
}
