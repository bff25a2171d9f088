package dev.wisteriarail.core.request;

import java.time.Duration;
import java.time.Instant;

/** A token bucket for rate limiting; callers pass its rate and capacity. Not thread-safe. */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;

  private Instant refilledAt;
  private double tokens;

  private TokenBucket(Instant refilledAt, double tokens) {
    this.refilledAt = refilledAt;
    this.tokens = tokens;
  }

  static TokenBucket full(Instant now, double capacity) {
    return new TokenBucket(now, capacity);
  }

  /** Refills the bucket and takes a token if one is available. */
  boolean tryAcquire(Instant now, double perSecond, double capacity) {
    double seconds = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
    tokens = Math.min(Math.max(1, capacity), tokens + seconds * perSecond);
    refilledAt = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the time until the next token is available; zero if one is available now. */
  Duration timeUntilNextToken(double perSecond) {
    double seconds = Math.max(0, 1 - tokens) / Math.max(perSecond, 1e-3);
    return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
  }
}
