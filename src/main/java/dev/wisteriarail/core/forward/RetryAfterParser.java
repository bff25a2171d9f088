package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Reads the time to come back that a runner names: seconds, with or without a fraction.
 *
 * <p>A date, a negative number or one without sense is no time to come back: a runner that names
 * one by mistake would get no request for days.
 */
public final class RetryAfterParser {

  /** Longest pause that is believed; runners that are full for longer leave. */
  private static final Duration MAX_PAUSE = Duration.ofHours(1);

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}(\\.[0-9]{0,9})?");
  private static final double NANOS_PER_SECOND = 1e9;

  private RetryAfterParser() {}

  /** Returns the pause that a text names; empty if it names none that is believed. */
  public static Optional<Duration> parse(String text) {
    if (!SECONDS.matcher(text).matches()) {
      return Optional.empty();
    }
    Duration pause = Duration.ofNanos(Math.round(Double.parseDouble(text) * NANOS_PER_SECOND));
    return Optional.of(pause).filter(each -> each.compareTo(MAX_PAUSE) <= 0);
  }
}
