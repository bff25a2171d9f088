package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;

/**
 * The control of a cell by one node.
 *
 * @param fence the claim's fencing number
 * @param holder the controller
 * @param incarnation the controller's incarnation
 */
public record Claim(FencingNumber fence, NodeId holder, Incarnation incarnation) {}
