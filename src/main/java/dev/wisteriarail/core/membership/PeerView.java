package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.Optional;

/**
 * What a node knows of a peer.
 *
 * @param node the peer
 * @param incarnation its newest incarnation that was heard
 * @param live whether it is taken for live
 * @param leaving whether it is about to go
 */
public record PeerView(
    NodeId node, Optional<Incarnation> incarnation, boolean live, boolean leaving) {}
