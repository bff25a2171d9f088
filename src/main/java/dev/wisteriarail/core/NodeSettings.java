package dev.wisteriarail.core;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * What a node's core knows of itself from its settings.
 *
 * @param node the node
 * @param incarnation this run of the process
 * @param failureDomain where it stands
 * @param cell the cell that it may control
 * @param seed seed of its random choices
 * @param timings its intervals
 */
public record NodeSettings(
    NodeId node,
    Incarnation incarnation,
    FailureDomain failureDomain,
    CellId cell,
    long seed,
    Timings timings) {}
