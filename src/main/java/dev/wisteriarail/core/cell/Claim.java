package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.util.List;

/**
 * The control of a cell by one node.
 *
 * @param fence the claim's fencing number
 * @param holder the controller
 * @param incarnation the controller's incarnation
 * @param line the succession line: the nodes that must acknowledge decisions that the holder makes
 *     while it can't read them back from the log
 */
public record Claim(
    FencingNumber fence, NodeId holder, Incarnation incarnation, List<Successor> line) {

  /** Makes a defensive copy of the line. */
  public Claim {
    line = List.copyOf(line);
  }

  /** Returns whether the claim is held by the given incarnation of a node. */
  public boolean isHeldBy(NodeId node, Incarnation nodeIncarnation) {
    return holder.equals(node) && incarnation.equals(nodeIncarnation);
  }

  /** Returns the same claim with another succession line. */
  public Claim withLine(List<Successor> newLine) {
    return new Claim(fence, holder, incarnation, newLine);
  }
}
