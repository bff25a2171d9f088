package dev.wisteriarail.peer;

/** Receives the number and size of messages sent to peers, by kind of message. Thread-safe. */
public interface PeerTrafficListener {

  /** Ignores all calls. */
  PeerTrafficListener NONE =
      new PeerTrafficListener() {
        @Override
        public void sent(String kind, int bytes) {}

        @Override
        public void skipped(String kind) {}
      };

  /**
   * Records a frame that was written to a connection.
   *
   * @param kind the kind of its message
   * @param bytes length of the frame including its four-byte length prefix
   */
  void sent(String kind, int bytes);

  /**
   * Records a repeated message that was skipped because too many frames to the peer were pending.
   *
   * @param kind the kind of the message
   */
  void skipped(String kind);
}
