package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.util.List;

/** What became of a call for the lease on orders. */
public sealed interface LeaseAnswer {

  /** Returns the era of the store that answered; -1 if none is known. */
  default long era() {
    return switch (this) {
      case Records records -> records.end().era();
      case Appended appended -> appended.place().era();
      case Conflict overtaken -> overtaken.end().era();
      case Failed failed -> LogPosition.NONE.era();
    };
  }

  /**
   * Records were read.
   *
   * @param end place after the last record that the store holds
   * @param first offset of the first record that the store still holds
   * @param from offset of the first record in the list
   * @param records the records, oldest first; unreadable ones are left out
   */
  record Records(LogPosition end, long first, long from, List<LeaseRecord> records)
      implements LeaseAnswer {

    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * The record was appended.
   *
   * @param place its place
   */
  record Appended(LogPosition place) implements LeaseAnswer {}

  /**
   * Another record was appended before.
   *
   * @param end place after the last record
   */
  record Conflict(LogPosition end) implements LeaseAnswer {}

  /**
   * Nothing was done, or it is not known.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements LeaseAnswer {}
}
