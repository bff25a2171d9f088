package dev.wisteriarail.core.route;

import java.time.Duration;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes longest request header, in bytes
 * @param maxBodyBytes longest request body, in bytes
 * @param headerTimeout time in which a request's header has to arrive
 * @param idleTimeout time that a caller may leave a connection idle
 */
public record CallerBounds(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The bounds of a node that knows no configuration yet. */
  public static final CallerBounds DEFAULT =
      new CallerBounds(16 * 1024, 4L * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
