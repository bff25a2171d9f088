package dev.wisteriarail.core.id;

/**
 * A position in a log of the platform's store.
 *
 * <p>A store that is restored from an older copy of itself begins a new era: offsets are reset and
 * assigned again. An offset is therefore only meaningful together with its era. Positions are
 * ordered by era first.
 *
 * @param era the store's era, from 0 to {@link #MAX_ERA}; -1 if unknown
 * @param offset number of the record within the era; -1 if unknown
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {

  /** Highest era; keeps fencing numbers small enough to be exact in any JSON parser. */
  public static final long MAX_ERA = (1L << 16) - 1;

  /** The unknown position. */
  public static final LogPosition NONE = new LogPosition(-1, -1);

  /** Number of bits for the offset in a fencing number; allows two billion records per era. */
  private static final int OFFSET_BITS = 31;

  /** Returns the position of an offset in an era. */
  public static LogPosition of(long era, long offset) {
    return new LogPosition(era, offset);
  }

  /** Returns the later of two positions. */
  public static LogPosition max(LogPosition a, LogPosition b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  /** Returns the position that is a number of records after this one. */
  public LogPosition plus(long records) {
    return new LogPosition(era, offset + records);
  }

  /** Returns whether this position is known. */
  public boolean known() {
    return offset >= 0;
  }

  /** Returns whether this position is before another one. */
  public boolean before(LogPosition other) {
    return compareTo(other) < 0;
  }

  /** Returns whether another position is in the same era. */
  public boolean sameEra(LogPosition other) {
    return era == other.era;
  }

  /**
   * Returns the fencing number of a claim at this position. It is positive and higher than that of
   * every claim at an earlier position, in any era.
   */
  public long fence() {
    return (Math.max(era, 0) << OFFSET_BITS) + offset + 1;
  }

  @Override
  public int compareTo(LogPosition other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(offset, other.offset);
  }

  @Override
  public String toString() {
    return era + ":" + offset;
  }
}
