package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.spi.PeerTransport;

/** Sends messages to other gateways through a {@link PeerTransport}. Thread-safe. */
final class PeerMessageSender {

  private final PeerTransport transport;

  PeerMessageSender(PeerTransport transport) {
    this.transport = transport;
  }

  /** Warms up the codec for a kind of message in the background, without sending the message. */
  void warmUpCodec(FleetMessage message) {
    Thread.ofVirtual().name("rehearsal").start(() -> transport.warmUpCodec(message));
  }

  void send(NodeAddress to, FleetMessage message) {
    transport.send(
        new VmEntry(to.node(), to.host(), to.port(), FailureDomain.of("any"), false), message);
  }
}
