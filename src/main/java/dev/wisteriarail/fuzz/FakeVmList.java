package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A fake of the platform's VM list. It lags, may hide a live node and may show a dead one. */
final class FakeVmList {

  private static final int PEER_PORT = 7000;

  private record ReaderView(NodeId reader, NodeId hidden) implements Comparable<ReaderView> {

    @Override
    public int compareTo(ReaderView other) {
      int byReader = reader.compareTo(other.reader);
      return byReader != 0 ? byReader : hidden.compareTo(other.hidden);
    }
  }

  private final World world;
  private final SeededRandom random;
  private final Map<NodeId, VmEntry> listed = new TreeMap<>();
  private final Map<NodeId, Integer> incarnations = new TreeMap<>();
  private final Map<ReaderView, Instant> hiddenUntil = new TreeMap<>();

  FakeVmList(World world) {
    this.world = world;
    random = world.random("list");
  }

  /** Adds a node's VM; the list shows it after a delay. */
  void add(NodeId node, int number) {
    incarnations.merge(node, 1, Integer::sum);
    VmEntry entry =
        new VmEntry(node, "10.0.0." + number, PEER_PORT, Deployment.failureDomain(number), false);
    world.after(random.nextDuration(0, 1_500), () -> listed.put(node, entry));
  }

  /** Removes a node's VM; the list still shows it for some time. */
  void remove(NodeId node) {
    int incarnation = incarnations.getOrDefault(node, 0);
    Duration lag = random.nextDuration(1_000, 8_000);
    world.countFault(FaultKind.LIST_SHOWED_DEAD);
    world.after(
        lag,
        () -> {
          if (incarnations.getOrDefault(node, 0) == incarnation) {
            listed.remove(node);
          }
        });
  }

  /** Marks a node's VM as about to be removed. */
  void markLeaving(NodeId node) {
    world.after(
        random.nextDuration(0, 2_000),
        () ->
            listed.computeIfPresent(
                node,
                (id, entry) ->
                    new VmEntry(id, entry.host(), entry.port(), entry.failureDomain(), true)));
  }

  /** Hides a live node from one reader. */
  void hide(NodeId node, NodeId reader, Instant until) {
    hiddenUntil.put(new ReaderView(reader, node), until);
  }

  void heal() {
    hiddenUntil.clear();
  }

  /** Returns the list as a node reads it. */
  List<VmEntry> read(NodeId reader) {
    List<VmEntry> seen = new ArrayList<>();
    for (VmEntry entry : listed.values()) {
      Instant until = hiddenUntil.getOrDefault(new ReaderView(reader, entry.node()), Instant.MIN);
      if (!world.now().isBefore(until)) {
        seen.add(entry);
      }
    }
    return seen;
  }
}
