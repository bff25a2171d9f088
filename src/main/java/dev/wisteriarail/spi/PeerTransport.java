package dev.wisteriarail.spi;

import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.PeerMessage;

/** Sends messages to peers. Thread-safe; sending does not block. */
public interface PeerTransport extends AutoCloseable {

  /** Sends a message; drops it if the peer cannot be reached. */
  void send(VmEntry peer, PeerMessage message);

  /** Encodes and decodes a message once without sending it; may take some time. */
  void warmUpCodec(PeerMessage message);

  @Override
  void close();
}
