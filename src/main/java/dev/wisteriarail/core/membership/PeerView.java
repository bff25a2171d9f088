package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Optional;

/**
 * State of a peer as seen by a node.
 *
 * @param node the peer
 * @param incarnation the newest incarnation from which a message was received
 * @param live whether the peer is considered live
 * @param leaving whether the peer is shutting down or about to be removed by the platform
 */
public record PeerView(
    NodeId node, Optional<Incarnation> incarnation, boolean live, boolean leaving) {}
