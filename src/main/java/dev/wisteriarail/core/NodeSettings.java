package dev.wisteriarail.core;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * Settings of a node's core.
 *
 * @param node the node
 * @param incarnation the incarnation of this process
 * @param failureDomain the node's failure domain
 * @param cell the cell that the node may control
 * @param seed seed of the node's random choices
 * @param timings intervals and timeouts
 */
public record NodeSettings(
    NodeId node,
    Incarnation incarnation,
    FailureDomain failureDomain,
    CellId cell,
    long seed,
    Timings timings) {}
