package dev.wisteriarail.http;

import java.time.Duration;

/**
 * Limits on requests and connections of callers.
 *
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param maxHeaderBytes maximum size of a request header, in bytes
 * @param bodyTimeout time within which the whole body must arrive
 * @param idleTimeout time after which a connection that transfers no data is closed
 * @param maxOpenRequests maximum number of open requests of the node
 */
public record HttpLimits(
    int maxBodyBytes,
    int maxHeaderBytes,
    Duration bodyTimeout,
    Duration idleTimeout,
    int maxOpenRequests) {

  /** The default limits. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(
          1024 * 1024, 16 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(30), 20_000);
}
