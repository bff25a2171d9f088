package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * An incarnation of a node, as a member of a succession line or as the holder of an ended claim.
 *
 * @param node the node
 * @param incarnation the node's incarnation
 */
public record Successor(NodeId node, Incarnation incarnation) {}
