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
   * Time over which slots are counted: several service times of a stream (about 0.5 s), and short
   * against the 2 s for which the least patient callers wait.
   */
  private static final Duration WINDOW = Duration.ofSeconds(2);

  /** Maximum number of slots counted; with more, the time in which they became free is shorter. */
  private static final int MAX_SAMPLES = 64;

  /** Minimum number of slots for an estimate; fewer leave an error of more than a half. */
  private static final int MIN_SAMPLES = 5;

  /** Standard deviations by which the rate may be underestimated before a request is refused. */
  private static final double DEVIATIONS = 1;

  private final long[] freedAtMillis = new long[MAX_SAMPLES];
  private int next;
  private Instant waitingSince = Instant.MAX;

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
      Arrays.fill(freedAtMillis, Long.MIN_VALUE);
    }
  }

  /** Records that a request for the target got a slot. */
  public void recordSlot(Instant now) {
    if (!waitingSince.equals(Instant.MAX)) {
      freedAtMillis[next] = now.toEpochMilli();
      next = (next + 1) % MAX_SAMPLES;
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
    long since = Math.max(waitingSince.toEpochMilli(), now.minus(WINDOW).toEpochMilli());
    long oldest = freedAtMillis[next];
    since = oldest == Long.MIN_VALUE ? since : Math.max(since, oldest);
    int count = 0;
    for (long freedAt : freedAtMillis) {
      count += freedAt >= since ? 1 : 0;
    }
    long millis = now.toEpochMilli() - since;
    if (count < MIN_SAMPLES || millis <= 0) {
      return Optional.empty();
    }
    double perMilli = (double) count / millis;
    double highest = (count + DEVIATIONS * Math.sqrt(count)) / millis;
    return Optional.of(
        new Wait(
            Duration.ofMillis(Math.round((ahead + 1) / highest)),
            Duration.ofMillis(Math.round((ahead + 1) / perMilli)),
            ahead,
            count,
            Duration.ofMillis(millis)));
  }

  /**
   * Expected wait for a slot.
   *
   * @param least wait if the rate is as high as the data allow
   * @param expected wait at the measured rate
   * @param ahead number of requests ahead
   * @param slots number of slots that became free
   * @param window time in which they became free
   */
  public record Wait(Duration least, Duration expected, int ahead, int slots, Duration window) {}
}
