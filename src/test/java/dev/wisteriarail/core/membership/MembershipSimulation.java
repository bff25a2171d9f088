package dev.wisteriarail.core.membership;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Simulates the memberships of several nodes on an in-memory network, in virtual time. */
public final class MembershipSimulation {

  private static final Duration STEP = Duration.ofMillis(50);

  private final Map<NodeId, Membership> members = new TreeMap<>();
  private final Map<NodeId, Long> incarnations = new TreeMap<>();
  private final Random random = new Random(5);
  private final List<VmEntry> entries = new ArrayList<>();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final Set<NodeId> down = new TreeSet<>();
  private double lossRate;
  private Instant now = Instant.EPOCH;

  /** Creates and starts nodes that are all on the VM list. */
  public MembershipSimulation(int nodes) {
    for (int i = 0; i < nodes; i++) {
      NodeId node = NodeId.of("n%03d".formatted(i));
      entries.add(new VmEntry(node, "127.0.0.1", 1, FailureDomain.of("fd" + i % 7), false));
    }
    entries.forEach(entry -> start(entry.node()));
  }

  // Actions

  /** Starts a node, or starts it again under a new incarnation. */
  void start(NodeId node) {
    long incarnation = incarnations.merge(node, 1L, Long::sum);
    NodeSettings settings =
        new NodeSettings(
            node,
            Incarnation.of(incarnation),
            FailureDomain.of("fd1"),
            CellId.of("main"),
            random.nextLong(),
            Timings.DEFAULT);
    members.put(node, Membership.create(settings));
    down.remove(node);
    refreshVmList(node);
  }

  /** Stops or pauses a node: it neither sends nor receives. */
  void stop(NodeId node) {
    down.add(node);
  }

  /** Resumes a paused node. */
  void resume(NodeId node) {
    down.remove(node);
  }

  /** Sets or clears a node's leaving mark on the VM list. */
  void markLeaving(NodeId node, boolean leaving) {
    entries.replaceAll(
        entry ->
            entry.node().equals(node)
                ? new VmEntry(node, entry.host(), 1, entry.failureDomain(), leaving)
                : entry);
    members.keySet().forEach(this::refreshVmList);
  }

  private void refreshVmList(NodeId node) {
    members.get(node).acceptVmList(entries, Step.at(now));
  }

  void setLossRate(double share) {
    lossRate = share;
  }

  /** Advances virtual time in steps of 50 ms; messages arrive at once. */
  public void run(Duration time) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plus(STEP);
      for (NodeId node : members.keySet()) {
        if (!down.contains(node)) {
          advance(node);
        }
      }
    }
  }

  private void advance(NodeId node) {
    Step step = Step.at(now);
    members
        .get(node)
        .advance(step, new PeerMessage.Heartbeat(Revision.of(700), FencingNumber.of(9_000), false));
    deliver(node, step);
  }

  private void deliver(NodeId from, Step step) {
    for (Effect effect : step.effects()) {
      if (effect instanceof Effect.SendPeer send) {
        sent.add(send.message());
        if (!down.contains(send.to()) && random.nextDouble() >= lossRate) {
          receive(from, send);
        }
      }
    }
  }

  private void receive(NodeId from, Effect.SendPeer send) {
    Membership to = members.get(send.to());
    Step step = Step.at(now);
    if (!to.acceptMessage(from, Incarnation.of(incarnations.get(from)), step)) {
      return;
    }
    switch (send.message()) {
      case PeerMessage.Heartbeat heartbeat -> to.acceptHeartbeat(from, heartbeat);
      case PeerMessage.Probe probe -> to.acceptProbe(from);
      case PeerMessage.Suspected suspected -> to.acceptSuspicions(suspected, step);
      default -> throw new AssertionError(send.message());
    }
  }

  // Accessors

  Membership member(NodeId node) {
    return members.get(node);
  }

  /** Returns the nodes. */
  public List<NodeId> nodes() {
    return List.copyOf(members.keySet());
  }

  /** Returns how many of the other running nodes consider a node live. */
  long countNodesSeeingLive(NodeId node) {
    return members.keySet().stream()
        .filter(member -> !member.equals(node) && !down.contains(member))
        .filter(member -> members.get(member).isLive(node, now))
        .count();
  }

  /** Returns the messages sent since the last call, including lost ones. */
  public List<PeerMessage> drainSent() {
    List<PeerMessage> messages = List.copyOf(sent);
    sent.clear();
    return messages;
  }

  Instant now() {
    return now;
  }
}
