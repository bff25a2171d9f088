package dev.wisteriarail.soak;

/** How a loopback proxy treats the bytes of its connections. */
public enum LinkState {
  /** Bytes are forwarded at once. */
  OPEN,
  /** Bytes are forwarded with a delay. */
  DELAYED,
  /** Bytes to the server are dropped; those to the caller are forwarded. */
  CUT_TO_SERVER,
  /** Bytes to the caller are dropped; those to the server are forwarded. */
  CUT_TO_CALLER,
  /** Bytes in both directions are dropped and connections stay open. */
  SILENT,
  /** All connections are reset, including new ones. */
  RESET,
  /**
   * Bytes in both directions are held and connections stay open. They are forwarded some time after
   * the link is open again, as a network sends lost packets again, unless their sender reset its
   * connection.
   */
  HELD
}
