package dev.wisteriarail.core.request;

import java.time.Duration;
import java.time.Instant;

/** Tokens that refill at a rate up to a bound. Mutable; not thread-safe. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private Instant filledAt;
  private double tokens;

  private TokenBucket(Instant filledAt, double tokens) {
    this.filledAt = filledAt;
    this.tokens = tokens;
  }

  static TokenBucket full(Instant now, double bound) {
    return new TokenBucket(now, bound);
  }

  /** Takes a token if there is one. */
  boolean take(Instant now, double perSecond, double bound) {
    double seconds = Duration.between(filledAt, now).toNanos() / NANOS_PER_SECOND;
    tokens = Math.min(Math.max(1, bound), tokens + seconds * perSecond);
    filledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the time until the next token, where none is left. */
  Duration untilNext(double perSecond) {
    double seconds = Math.max(0, 1 - tokens) / Math.max(perSecond, 1e-3);
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
