package dev.wisteriarail.core.id;

/**
 * A place in a log of the platform's store.
 *
 * <p>A store that comes back from an older copy of itself begins a new era: offsets go back and are
 * given out again. So an offset says nothing without its era. Places are ordered by era first.
 *
 * @param era the store's era, from 0 to {@link #MAX_ERA}; -1 if nothing is known
 * @param offset number of the record within the era; -1 if nothing is known
 */
public record LogPosition(long era, long offset) implements Comparable<LogPosition> {

  /** Largest era, so that fencing numbers are exact in any JSON reader. */
  public static final long MAX_ERA = (1L << 16) - 1;

  /** Stands for nothing known. */
  public static final LogPosition NONE = new LogPosition(-1, -1);

  /** Leaves two billion records to each era. */
  private static final int OFFSET_BITS = 31;

  /** Returns a place. */
  public static LogPosition of(long era, long offset) {
    return new LogPosition(era, offset);
  }

  /** Returns the later one of two places. */
  public static LogPosition max(LogPosition a, LogPosition b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  /** Returns the place a number of records after this one. */
  public LogPosition plus(long records) {
    return new LogPosition(era, offset + records);
  }

  /** Returns whether this is a place at all. */
  public boolean known() {
    return offset >= 0;
  }

  /** Returns whether this place comes before another one. */
  public boolean before(LogPosition other) {
    return compareTo(other) < 0;
  }

  /** Returns whether another place belongs to the same era. */
  public boolean sameEra(LogPosition other) {
    return era == other.era;
  }

  /**
   * Returns the fencing number of a claim that stands here: positive, and higher than that of every
   * claim before it, whatever the era.
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
