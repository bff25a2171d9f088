package dev.wisteriarail.core.fleet;

/**
 * Place of a node among all nodes that it knows, ordered by identifier.
 *
 * <p>Nodes with the same knowledge have different places, so that they can divide something among
 * them without a message. While their knowledge differs, two nodes may have the same place.
 *
 * @param large whether the fleet is so large that nodes send fewer messages
 * @param index place of the node, from 0
 * @param nodes number of nodes, at least 1
 */
public record FleetPosition(boolean large, int index, int nodes) {

  /** The place of a node that knows no other. */
  public static final FleetPosition ALONE = new FleetPosition(false, 0, 1);
}
