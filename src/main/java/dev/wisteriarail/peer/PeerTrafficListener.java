package dev.wisteriarail.peer;

/** Takes what a transport sends to peers, by kind of message. Thread-safe. */
public interface PeerTrafficListener {

  /** Counts nothing. */
  PeerTrafficListener NONE =
      new PeerTrafficListener() {
        @Override
        public void sent(String kind, int bytes) {}

        @Override
        public void skipped(String kind) {}
      };

  /**
   * Notes a frame that was written to a connection.
   *
   * @param kind the kind of its message
   * @param bytes its length, the four bytes of the length included
   */
  void sent(String kind, int bytes);

  /**
   * Notes a repeated message that was left out, as too many frames were on their way to the peer.
   *
   * @param kind the kind of the message
   */
  void skipped(String kind);
}
