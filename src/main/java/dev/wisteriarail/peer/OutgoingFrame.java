package dev.wisteriarail.peer;

/** An encoded frame to be sent. Its content is not copied, since it is shared by many peers. */
final class OutgoingFrame {

  private final String kind;
  private final byte[] bytes;

  private OutgoingFrame(String kind, byte[] bytes) {
    this.kind = kind;
    this.bytes = bytes;
  }

  /**
   * Creates a frame.
   *
   * @param kind the kind of its message, for metrics
   * @param bytes its content, which must not be modified afterwards
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
