package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;

/**
 * Estimates when a waiting request gets a slot, from how fast slots became free for its target
 * while requests of this node waited.
 *
 * <p>Load: a burst leaves more requests waiting than can be served before their callers leave. A
 * request at the end of such a queue would be held for most of its time limit and then refused.
 *
 * <p>Life cycle: one for each target with requests. Not thread-safe.
 */
public final class SlotForecast {

  /**
   * Time over which slots are counted: with many nodes and models, a node gets a slot for one model
   * about once a second. Bursts last 5 to 11 s.
   */
  private static final Duration WINDOW = Duration.ofSeconds(8);

  /**
   * Minimum time over which slots are counted: several views of the runners, as slots are seen to
   * be free when a view arrives.
   */
  private static final Duration MIN_WINDOW = Duration.ofSeconds(2);

  /** Maximum number of slots counted; with more, the time in which they became free is shorter. */
  private static final int MAX_SAMPLES = 256;

  /** Minimum number of slots for an estimate; fewer leave an error of more than a half. */
  private static final int MIN_SAMPLES = 5;

  /** Number of slots from which the error of the rate is less than a quarter. */
  private static final int RELIABLE_SAMPLES = 16;

  private final long[] freedAtMillis = new long[MAX_SAMPLES];
  private int next;
  private Instant waitingSince = Instant.MAX;
  private Instant countedAt = Instant.MIN;
  private int count;
  private long windowMillis;

  private SlotForecast() {
    Arrays.fill(freedAtMillis, Long.MIN_VALUE);
  }

  /** Creates a forecast without data. */
  public static SlotForecast create() {
    return new SlotForecast();
  }

  /** Records whether requests wait for the target. Slots count only while they do. */
  public void recordWaiting(boolean waiting, Instant now) {
    if (!waiting) {
      waitingSince = Instant.MAX;
    } else if (waitingSince.equals(Instant.MAX)) {
      waitingSince = now;
      countedAt = Instant.MIN;
      Arrays.fill(freedAtMillis, Long.MIN_VALUE);
    }
  }

  /** Records that a request for the target got a slot. */
  public void recordSlot(Instant now) {
    if (!waitingSince.equals(Instant.MAX)) {
      freedAtMillis[next] = now.toEpochMilli();
      next = (next + 1) % MAX_SAMPLES;
      countedAt = Instant.MIN;
    }
  }

  /**
   * Returns the expected wait of a request; empty without enough data.
   *
   * @param ahead number of requests of this node that get a slot before it
   */
  public Optional<Wait> estimate(int ahead, Instant now) {
    if (waitingSince.equals(Instant.MAX)) {
      return Optional.empty();
    }
    if (!now.equals(countedAt)) {
      countSlots(now);
    }
    return count < MIN_SAMPLES || windowMillis < MIN_WINDOW.toMillis()
        ? Optional.empty()
        : Optional.of(new Wait(ahead, count, windowMillis));
  }

  /** Counts the slots once for all requests that ask at the same time. */
  private void countSlots(Instant now) {
    countedAt = now;
    long since = Math.max(waitingSince.toEpochMilli(), now.minus(WINDOW).toEpochMilli());
    since = Math.max(since, freedAtMillis[next]);
    count = 0;
    for (long freedAt : freedAtMillis) {
      count += freedAt >= since ? 1 : 0;
    }
    windowMillis = now.toEpochMilli() - since;
  }

  /**
   * Expected wait for a slot.
   *
   * @param ahead number of requests ahead
   * @param slots number of slots that became free
   * @param windowMillis time in which they became free
   */
  public record Wait(int ahead, int slots, long windowMillis) {

    /** Returns the wait if the rate is a standard deviation higher than measured. */
    public Duration least() {
      return at(slots + Math.sqrt(slots));
    }

    /** Returns the wait at the measured rate. */
    public Duration expected() {
      return at(slots);
    }

    /** Returns the wait if the rate is a standard deviation lower than measured. */
    public Duration most() {
      return at(slots - Math.sqrt(slots));
    }

    /** Returns whether the rate is known well enough to refuse a request on its arrival. */
    public boolean isReliable() {
      return slots >= RELIABLE_SAMPLES;
    }

    private Duration at(double slotsInWindow) {
      return Duration.ofMillis(Math.round((ahead + 1) * windowMillis / slotsInWindow));
    }
  }
}
