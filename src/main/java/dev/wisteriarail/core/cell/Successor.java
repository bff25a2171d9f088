package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * One run of a node, as a claim names it.
 *
 * @param node the node
 * @param incarnation its run
 */
public record Successor(NodeId node, Incarnation incarnation) {}
