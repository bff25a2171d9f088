package dev.wisteriarail.peer;

/** A frame that waits for a peer. Its content is not copied, as the same goes to many peers. */
final class OutgoingFrame {

  private final String kind;
  private final byte[] bytes;

  private OutgoingFrame(String kind, byte[] bytes) {
    this.kind = kind;
    this.bytes = bytes;
  }

  /**
   * Returns a frame.
   *
   * @param kind the kind of its message, for metrics
   * @param bytes its content, which is not changed any more
   */
  static OutgoingFrame of(String kind, byte[] bytes) {
    return new OutgoingFrame(kind, bytes);
  }

  String kind() {
    return kind;
  }

  byte[] bytes() {
    return bytes;
  }
}
