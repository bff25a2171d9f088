package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The other nodes, and what each last said of itself.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class PeerTable {

  /** Heartbeats go on to a silent peer for this long, in case only the way back is cut. */
  private static final Duration FORGET_AFTER = Duration.ofMinutes(1);

  /** Peers up to which heartbeats keep their pace; beyond, they slow down in proportion. */
  private static final int PEERS_AT_FULL_PACE = 20;

  /** Heartbeats slow down to this part of their pace at most. */
  private static final int SLOWEST = 3;

  private final NodeAddress self;
  private final Duration silence;
  private final Map<NodeId, Peer> peers = new TreeMap<>();

  private PeerTable(NodeAddress self, Duration silence) {
    this.self = self;
    this.silence = silence;
  }

  /**
   * Returns a table without peers.
   *
   * @param self this node's own address
   * @param silence after which a silent peer counts as lost
   */
  public static PeerTable create(NodeAddress self, Duration silence) {
    return new PeerTable(self, silence);
  }

  // Changes

  /** Takes an address that was read from the store or named by a peer. */
  public void learn(NodeAddress address, Instant now) {
    if (address.node().equals(self.node()) || isSelf(address)) {
      return;
    }
    Peer known = peers.get(address.node());
    if (known == null) {
      peers.put(address.node(), new Peer(address, PeerStatus.UNKNOWN, Instant.MIN, now));
    } else if (address.incarnation().compareTo(known.address().incarnation()) > 0) {
      peers.put(
          address.node(), new Peer(address, known.status(), known.heardAt(), known.learntAt()));
    }
  }

  private boolean isSelf(NodeAddress address) {
    return address.host().equals(self.host()) && address.port() == self.port();
  }

  /**
   * Takes a heartbeat.
   *
   * @return whether the peer was silent or unknown before
   */
  public boolean heard(NodeAddress from, PeerStatus status, Instant now) {
    if (isSelf(from)) {
      return false;
    }
    Peer known = peers.get(from.node());
    boolean returned = known == null || !isLive(known, now);
    if (!returned && from.incarnation().compareTo(known.address().incarnation()) < 0) {
      return false;
    }
    peers.values().removeIf(peer -> isReplaced(peer, from));
    peers.put(from.node(), new Peer(from, status, now, now));
    return returned;
  }

  /** Addresses that were only guessed give way to the node that answers there. */
  private static boolean isReplaced(Peer peer, NodeAddress from) {
    return peer.heardAt().equals(Instant.MIN)
        && peer.address().host().equals(from.host())
        && peer.address().port() == from.port();
  }

  /** Notes that a message other than a heartbeat came from a peer. */
  public void touch(NodeId node, Instant now) {
    Peer known = peers.get(node);
    if (known != null && !known.heardAt().equals(Instant.MIN)) {
      peers.put(node, new Peer(known.address(), known.status(), now, known.learntAt()));
    }
  }

  /** Starts every peer's silence anew, after this node itself stood still. */
  public void forgive(Instant now) {
    peers.replaceAll(
        (node, peer) ->
            peer.heardAt().equals(Instant.MIN)
                ? peer
                : new Peer(peer.address(), peer.status(), now, peer.learntAt()));
  }

  /** Forgets peers that were silent for long. */
  public void advance(Instant now) {
    peers
        .values()
        .removeIf(peer -> now.isAfter(later(peer.heardAt(), peer.learntAt()).plus(FORGET_AFTER)));
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  // Accessors

  /** Returns the addresses of all known peers, silent ones included. */
  public List<NodeAddress> addresses() {
    return peers.values().stream().map(Peer::address).toList();
  }

  /** Returns the peers that were heard lately, in the order of their identifiers. */
  public List<Peer> live(Instant now) {
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (isLive(peer, now)) {
        live.add(peer);
      }
    }
    return live;
  }

  /** Returns a peer that was heard lately. */
  public Optional<Peer> live(NodeId node, Instant now) {
    return Optional.ofNullable(peers.get(node)).filter(peer -> isLive(peer, now));
  }

  /** Returns by how much heartbeats are slowed down, so that they stay cheap in a large fleet. */
  public double pace() {
    return Math.clamp((double) peers.size() / PEERS_AT_FULL_PACE, 1, SLOWEST);
  }

  /** A coordinator is heard all the time, whatever the pace of heartbeats is. */
  private boolean isLive(Peer peer, Instant now) {
    double slowness = peer.status().fence() > 0 ? 1 : pace();
    return !peer.heardAt().equals(Instant.MIN)
        && Duration.between(peer.heardAt(), now).toMillis() < silence.toMillis() * slowness;
  }

  /**
   * What is known of a peer.
   *
   * @param address where it listens
   * @param status what it last said of itself
   * @param heardAt when it said so; {@link Instant#MIN} if it never did
   * @param learntAt when its address was learnt
   */
  public record Peer(NodeAddress address, PeerStatus status, Instant heardAt, Instant learntAt) {

    /** Returns its identifier. */
    public NodeId node() {
      return address.node();
    }
  }
}
