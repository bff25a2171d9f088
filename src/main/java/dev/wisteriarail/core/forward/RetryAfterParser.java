package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Parses the retry-after time that a runner sends: seconds, optionally with a fraction.
 *
 * <p>Dates, negative numbers and times above the maximum are ignored: a runner that sent one by
 * mistake would get no request for days.
 */
public final class RetryAfterParser {

  /** Maximum pause that is accepted; runners that are full for longer leave. */
  private static final Duration MAX_PAUSE = Duration.ofHours(1);

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}(\\.[0-9]{0,9})?");
  private static final double NANOS_PER_SECOND = 1e9;

  private RetryAfterParser() {}

  /** Returns the pause that a text specifies, or empty if it specifies no valid pause. */
  public static Optional<Duration> parse(String text) {
    if (!SECONDS.matcher(text).matches()) {
      return Optional.empty();
    }
    Duration pause = Duration.ofNanos(Math.round(Double.parseDouble(text) * NANOS_PER_SECOND));
    return Optional.of(pause).filter(parsed -> parsed.compareTo(MAX_PAUSE) <= 0);
  }
}
