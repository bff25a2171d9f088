package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.util.List;

/** Answer of the store to a call for the order lease. */
public sealed interface LeaseAnswer {

  /** Returns the era of the store that answered; -1 if unknown. */
  default long era() {
    return switch (this) {
      case Records records -> records.end().era();
      case Appended appended -> appended.position().era();
      case Conflict conflict -> conflict.end().era();
      case Failed failed -> LogPosition.NONE.era();
    };
  }

  /**
   * Records were read.
   *
   * @param end position after the last record in the store
   * @param first offset of the first record that the store still holds
   * @param from offset of the first record in the list
   * @param records the records, oldest first, without unreadable ones
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
   * @param position position of the record
   */
  record Appended(LogPosition position) implements LeaseAnswer {}

  /**
   * Another record was appended before.
   *
   * @param end position after the last record
   */
  record Conflict(LogPosition end) implements LeaseAnswer {}

  /**
   * The call failed, or its effect is unknown.
   *
   * @param reason the cause
   */
  record Failed(String reason) implements LeaseAnswer {}
}
