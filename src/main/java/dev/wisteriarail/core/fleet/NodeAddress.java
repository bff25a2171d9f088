package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * Where a node listens for its peers.
 *
 * @param node the node
 * @param incarnation its newest known run
 * @param host its IP number
 * @param port its port for peers
 */
public record NodeAddress(NodeId node, Incarnation incarnation, String host, int port) {}
