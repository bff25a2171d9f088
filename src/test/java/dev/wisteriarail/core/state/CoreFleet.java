package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.placement.FixedTimeoutPlanner;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Node cores with an in-memory log and a network whose messages the test delivers. */
final class CoreFleet {

  record Message(NodeId from, Incarnation incarnation, Effect.SendPeer send) {}

  final InMemoryLog log = new InMemoryLog();
  final List<Message> network = new ArrayList<>();
  final Set<NodeId> withoutLog = new TreeSet<>();
  private final Map<NodeId, NodeCore> cores = new TreeMap<>();
  private final Map<NodeId, Incarnation> incarnations = new TreeMap<>();
  private final Map<NodeId, Long> readFrom = new TreeMap<>();
  Instant now = Instant.EPOCH;

  CoreFleet(int nodes) {
    for (int i = 1; i <= nodes; i++) {
      incarnations.put(NodeId.of("n" + i), Incarnation.of(0));
    }
    List.copyOf(incarnations.keySet()).forEach(this::restart);
  }

  // Actions

  /** Replaces a node by a new incarnation without any state. */
  void restart(NodeId node) {
    Incarnation next = Incarnation.of(incarnations.get(node).value() + 1);
    incarnations.put(node, next);
    readFrom.put(node, 0L);
    NodeSettings settings =
        new NodeSettings(node, next, FailureDomain.of("fd1"), InMemoryLog.CELL, 1, Timings.DEFAULT);
    cores.put(node, NodeCore.create(settings, FixedTimeoutPlanner.withTimeout(Duration.ZERO)));
    List<VmEntry> entries =
        incarnations.keySet().stream()
            .map(id -> new VmEntry(id, "127.0.0.1", 1, FailureDomain.of("fd1"), false))
            .toList();
    feed(node, new Event.VmListRead(entries));
  }

  /** Lets a node read the log; the read fails if the node is cut off from the log. */
  void read(NodeId node, int limit) {
    if (withoutLog.contains(node)) {
      feed(node, new Event.LogReadFailed("blind"));
      return;
    }
    Event.LogRead read = log.read(readFrom.get(node), limit);
    readFrom.put(node, read.nextOffset());
    feed(node, read);
  }

  /** Removes a message from the network and delivers it. */
  void deliver(int index) {
    receive(network.remove(index));
  }

  /** Delivers a message but keeps it in the network, so that it can be delivered again. */
  void deliverCopy(int index) {
    receive(network.get(index));
  }

  private void receive(Message message) {
    feed(
        message.send().to(),
        new Event.PeerReceived(message.from(), message.incarnation(), message.send().message()));
  }

  /** Advances virtual time; all nodes read the log and all messages are delivered. */
  void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plusMillis(100);
      nodes().forEach(node -> read(node, 50));
      while (!network.isEmpty()) {
        deliver(0);
      }
      nodes().forEach(node -> feed(node, new Event.TimerFired()));
    }
  }

  void feed(NodeId node, Event event) {
    for (Effect effect : cores.get(node).handle(event, now)) {
      if (effect instanceof Effect.SendPeer send) {
        network.add(new Message(node, incarnations.get(node), send));
      } else if (effect instanceof Effect.Append append) {
        append(node, append);
      }
    }
  }

  private void append(NodeId node, Effect.Append append) {
    if (withoutLog.contains(node)) {
      feed(node, new Event.AppendAnswered(append.record(), new AppendOutcome.Unknown("blind")));
      return;
    }
    log.append(append.record().value(), append.body());
    AppendOutcome done = new AppendOutcome.Appended(log.size() - 1);
    feed(node, new Event.AppendAnswered(append.record(), done));
  }

  // Accessors

  List<NodeId> nodes() {
    return List.copyOf(cores.keySet());
  }

  NodeCore core(NodeId node) {
    return cores.get(node);
  }
}
