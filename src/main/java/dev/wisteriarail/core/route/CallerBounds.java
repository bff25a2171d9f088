package dev.wisteriarail.core.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of a request header, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeout time within which a request header has to arrive
 * @param idleTimeout time after which an idle connection is closed
 */
public record CallerBounds(
    int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** The limits of a node that has no configuration yet. */
  public static final CallerBounds DEFAULT =
      new CallerBounds(16 * 1024, 4L * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
