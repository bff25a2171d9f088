package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.id.NodeId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The nodes arranged in a ring by a hash of their names. The order is the same on every node and
 * mixes failure domains.
 *
 * <p>Immutable.
 */
final class Ring {

  private final List<NodeId> nodes;

  private Ring(List<NodeId> nodes) {
    this.nodes = nodes;
  }

  static Ring of(Collection<NodeId> nodes) {
    List<NodeId> sorted = new ArrayList<>(nodes);
    sorted.sort(Comparator.comparingLong(NodeId::mixedHash).thenComparing(node -> node));
    return new Ring(List.copyOf(sorted));
  }

  /** Returns the nearest nodes after a node that pass the filter. */
  List<NodeId> successors(NodeId node, int count, Predicate<NodeId> filter) {
    return neighbors(node, 1, count, filter);
  }

  /** Returns the nearest nodes before a node that pass the filter. */
  List<NodeId> predecessors(NodeId node, int count, Predicate<NodeId> filter) {
    return neighbors(node, nodes.size() - 1, count, filter);
  }

  private List<NodeId> neighbors(NodeId node, int stride, int count, Predicate<NodeId> filter) {
    List<NodeId> found = new ArrayList<>();
    int start = nodes.indexOf(node);
    if (start < 0) {
      return found;
    }
    for (int i = 1; i < nodes.size() && found.size() < count; i++) {
      NodeId candidate = nodes.get((int) ((start + (long) i * stride) % nodes.size()));
      if (filter.test(candidate)) {
        found.add(candidate);
      }
    }
    return found;
  }
}
