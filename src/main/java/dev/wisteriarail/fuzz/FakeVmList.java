package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's VM list: lags, hides a live node, shows a dead one, differs by reader. */
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
  private final SeededRandom chance;
  private final Map<NodeId, VmEntry> listed = new TreeMap<>();
  private final Map<NodeId, Integer> incarnations = new TreeMap<>();
  private final Map<ReaderView, Instant> hiddenUntil = new TreeMap<>();

  FakeVmList(World world) {
    this.world = world;
    chance = world.random("list");
  }

  /** Notes that a node's VM exists; the list shows it later. */
  void add(NodeId node, int number) {
    incarnations.merge(node, 1, Integer::sum);
    VmEntry entry =
        new VmEntry(node, "10.0.0." + number, PEER_PORT, Deployment.failureDomain(number), false);
    world.after(chance.nextDuration(0, 1_500), () -> listed.put(node, entry));
  }

  /** Notes that a node's VM is gone; the list shows it for some time still. */
  void remove(NodeId node) {
    int life = incarnations.getOrDefault(node, 0);
    Duration lag = chance.nextDuration(1_000, 8_000);
    world.countFault(FaultKind.LIST_SHOWED_DEAD);
    world.after(
        lag,
        () -> {
          if (incarnations.getOrDefault(node, 0) == life) {
            listed.remove(node);
          }
        });
  }

  /** Notes that a node's VM is to be taken away. */
  void markLeaving(NodeId node) {
    world.after(
        chance.nextDuration(0, 2_000),
        () ->
            listed.computeIfPresent(
                node,
                (id, entry) ->
                    new VmEntry(id, entry.host(), entry.port(), entry.failureDomain(), true)));
  }

  /** Hides a live node from one reader's readings. */
  void hide(NodeId node, NodeId reader, Instant until) {
    hiddenUntil.put(new ReaderView(reader, node), until);
  }

  void heal() {
    hiddenUntil.clear();
  }

  /** Returns what a node reads. */
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
