package dev.wisteriarail.http;

import java.time.Duration;

/**
 * Bounds on what a caller may send.
 *
 * @param maxBodyBytes longest request body, in bytes
 * @param maxHeaderBytes longest request header, in bytes
 * @param bodyTimeout time in which the whole body must arrive
 * @param idleTimeout time in which a connection must move a byte
 * @param maxOpenRequests requests that the node holds at a time
 */
public record HttpLimits(
    int maxBodyBytes,
    int maxHeaderBytes,
    Duration bodyTimeout,
    Duration idleTimeout,
    int maxOpenRequests) {

  /** The bounds of a node whose settings name none. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(
          1024 * 1024, 16 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(30), 20_000);
}
