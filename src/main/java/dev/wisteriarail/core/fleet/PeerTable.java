package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The other nodes of the fleet and the last status of each.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
public final class PeerTable {

  /** Time for which heartbeats are sent to a silent peer, in case only the reverse path is cut. */
  private static final Duration RETENTION = Duration.ofMinutes(1);

  /**
   * Number of hubs in a large fleet: the next coordinator, and spares in case several fail at once.
   */
  private static final int HUB_COUNT = 4;

  private final NodeAddress self;
  private final Duration peerTimeout;
  private final Duration leaseDuration;
  private final Map<NodeId, Peer> peers = new TreeMap<>();
  private Optional<FleetPace> pace = Optional.empty();
  private Optional<FleetPosition> position = Optional.empty();

  private PeerTable(NodeAddress self, Duration peerTimeout, Duration leaseDuration) {
    this.self = self;
    this.peerTimeout = peerTimeout;
    this.leaseDuration = leaseDuration;
  }

  /**
   * Returns a table without peers.
   *
   * @param self this node's own address
   * @param peerTimeout time without a message, at full pace, after which a peer counts as failed
   * @param leaseDuration time for which an order lease is valid without a renewal
   */
  public static PeerTable create(NodeAddress self, Duration peerTimeout, Duration leaseDuration) {
    return new PeerTable(self, peerTimeout, leaseDuration);
  }

  // Changes

  /** Adds an address that was read from the store or received from a peer. */
  public void addAddress(NodeAddress address, Instant now) {
    if (address.node().equals(self.node()) || isSelf(address)) {
      return;
    }
    Peer known = peers.get(address.node());
    if (known == null) {
      peers.put(address.node(), Peer.discovered(address, now));
      pace = Optional.empty();
      position = Optional.empty();
    } else if (address.incarnation().compareTo(known.address().incarnation()) > 0) {
      peers.put(address.node(), known.withAddress(address));
      pace = Optional.empty();
      position = Optional.empty();
    }
  }

  private boolean isSelf(NodeAddress address) {
    return address.host().equals(self.host()) && address.port() == self.port();
  }

  /**
   * Handles a heartbeat.
   *
   * @return whether the peer was silent or unknown before
   */
  public boolean acceptHeartbeat(NodeAddress from, PeerStatus status, Instant now) {
    if (isSelf(from)) {
      return false;
    }
    Peer known = peers.get(from.node());
    boolean returned = known == null || !isLive(known, now);
    if (!returned && from.incarnation().compareTo(known.address().incarnation()) < 0) {
      return false;
    }
    peers.values().removeIf(peer -> isReplaced(peer, from));
    Instant hubSince = known == null ? Instant.MAX : known.hubSince();
    peers.put(from.node(), new Peer(from, status, now, now, hubSince));
    if (returned) {
      pace = Optional.empty();
      position = Optional.empty();
    }
    return returned;
  }

  /** Returns whether a peer is the placeholder for an address at which another node answered. */
  private static boolean isReplaced(Peer peer, NodeAddress from) {
    return peer.lastReceivedAt().equals(Instant.MIN)
        && peer.address().host().equals(from.host())
        && peer.address().port() == from.port();
  }

  /** Records that a message other than a heartbeat was received from a peer. */
  public void recordMessage(NodeId node, Instant now) {
    Peer known = peers.get(node);
    if (known != null && !known.lastReceivedAt().equals(Instant.MIN)) {
      peers.put(node, known.withLastReceivedAt(now));
    }
  }

  /** Restarts the timeout of every peer, because this node itself was paused. */
  public void resetSilence(Instant now) {
    peers.replaceAll(
        (node, peer) ->
            peer.lastReceivedAt().equals(Instant.MIN) ? peer : peer.withLastReceivedAt(now));
  }

  /** Removes peers that have been silent for too long. */
  public void advance(Instant now) {
    if (peers.values().removeIf(peer -> now.isAfter(lastUpdate(peer).plus(RETENTION)))) {
      pace = Optional.empty();
      position = Optional.empty();
    }
  }

  private static Instant lastUpdate(Peer peer) {
    return later(peer.lastReceivedAt(), peer.discoveredAt());
  }

  private static Instant later(Instant a, Instant b) {
    return a.isAfter(b) ? a : b;
  }

  // Hubs

  /**
   * Returns the peers to send a heartbeat to.
   *
   * <p>In a large fleet a few nodes, the hubs, exchange heartbeats with all others. The rest send
   * theirs to the hubs and the coordinator only. Each node chooses the hubs itself: the first nodes
   * by rank that are not missing. Nodes that choose different hubs lose only heartbeats, because
   * the lease decides who coordinates.
   *
   * @param isCoordinator whether this node coordinates and therefore sends its heartbeat to all
   *     others
   */
  public List<NodeAddress> heartbeatTargets(boolean isCoordinator, Instant now) {
    if (!isLarge()) {
      return addresses();
    }
    Set<NodeId> hubs = chooseHubs(now);
    if (isCoordinator || hubs.contains(self.node())) {
      return addresses();
    }
    return peers.values().stream()
        .filter(
            peer -> hubs.contains(peer.node()) || (peer.status().fence() > 0 && isLive(peer, now)))
        .map(Peer::address)
        .toList();
  }

  /** Returns the hubs of a large fleet, including this node if it is one. */
  private Set<NodeId> chooseHubs(Instant now) {
    Set<NodeId> hubs = new HashSet<>();
    List<Peer> ranked =
        peers.values().stream()
            .sorted(Comparator.comparing(Peer::address, NodeAddress.BY_RANK))
            .toList();
    for (Peer peer : ranked) {
      if (hubs.size() < HUB_COUNT && self.ranksBefore(peer.address())) {
        hubs.add(self.node());
      }
      boolean missing = isMissingHub(peer, now);
      boolean chosen = hubs.size() < HUB_COUNT && !missing;
      if (chosen) {
        hubs.add(peer.node());
      }
      if (chosen && peer.hubSince().equals(Instant.MAX)) {
        peers.put(peer.node(), peer.withHubSince(now));
      } else if (!chosen && !missing) {
        peers.put(peer.node(), peer.withHubSince(Instant.MAX));
      }
    }
    if (hubs.size() < HUB_COUNT) {
      hubs.add(self.node());
      peers.replaceAll((node, peer) -> peer.withHubSince(Instant.MAX));
    }
    return hubs;
  }

  /** Returns whether a peer was chosen as a hub but did not send the heartbeats of one. */
  private boolean isMissingHub(Peer peer, Instant now) {
    if (peer.hubSince().equals(Instant.MAX) || isLive(peer, now)) {
      return false;
    }
    Instant since = later(peer.hubSince(), peer.lastReceivedAt());
    return Duration.between(since, now).toMillis()
        >= peerTimeout.toMillis() * FleetPace.MAX_SLOWDOWN;
  }

  // Accessors

  /** Returns the addresses of all known peers, including silent ones. */
  public List<NodeAddress> addresses() {
    return peers.values().stream().map(Peer::address).toList();
  }

  /**
   * Returns the number of nodes that share a fleet-wide limit. In a large fleet this counts all
   * recently known nodes, because this node receives no heartbeats from most of them; the number is
   * therefore never too low.
   *
   * @param live the live peers
   */
  public int sharerCount(List<Peer> live) {
    return 1 + (isLarge() ? peers.size() : live.size());
  }

  /**
   * Returns this node's delay when all nodes do something one after the other, ordered by a hash of
   * their names.
   *
   * @param interval time between two nodes
   */
  public Duration staggeredDelay(Duration interval) {
    long window = interval.multipliedBy(1L + peers.size()).toNanos();
    return Duration.ofNanos(Math.floorMod(self.node().mixedHash(), window));
  }

  /** Returns the live peers, ordered by identifier. */
  public List<Peer> live(Instant now) {
    List<Peer> live = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (isLive(peer, now)) {
        live.add(peer);
      }
    }
    return live;
  }

  /** Returns a peer if it is live. */
  public Optional<Peer> live(NodeId node, Instant now) {
    return Optional.ofNullable(peers.get(node)).filter(peer -> isLive(peer, now));
  }

  /** Returns the address of a peer if it is known, whether it is live or not. */
  public Optional<NodeAddress> address(NodeId node) {
    return Optional.ofNullable(peers.get(node)).map(Peer::address);
  }

  /** Returns whether the fleet is so large that nodes send fewer messages. */
  public boolean isLarge() {
    return fleetPace().isLarge();
  }

  /** Returns this node's place among all known nodes, computed again only after peers changed. */
  public FleetPosition position() {
    if (position.isEmpty()) {
      int before = 0;
      for (NodeId peer : peers.keySet()) {
        before += peer.compareTo(self.node()) < 0 ? 1 : 0;
      }
      position = Optional.of(new FleetPosition(isLarge(), before, 1 + peers.size()));
    }
    return position.get();
  }

  /**
   * Returns the factor by which heartbeat intervals are extended to keep their cost low in a large
   * fleet.
   */
  public double heartbeatSlowdown() {
    return fleetPace().slowdown();
  }

  /**
   * Returns the pace, computed again only after peers were added or removed: at the start they are
   * added by the hundreds.
   */
  private FleetPace fleetPace() {
    if (pace.isEmpty()) {
      pace = Optional.of(FleetPace.of(self, addresses()));
    }
    return pace.get();
  }

  /**
   * Returns whether a message was received from a peer within the timeout at the current pace. A
   * coordinator sends more often and counts as failed no later than its lease expires: before that,
   * no other node can take over.
   */
  private boolean isLive(Peer peer, Instant now) {
    long timeoutMillis = Math.round(peerTimeout.toMillis() * heartbeatSlowdown());
    if (peer.status().fence() > 0) {
      timeoutMillis =
          Math.min(timeoutMillis, Math.max(peerTimeout.toMillis(), leaseDuration.toMillis()));
    }
    return !peer.lastReceivedAt().equals(Instant.MIN)
        && Duration.between(peer.lastReceivedAt(), now).toMillis() < timeoutMillis;
  }

  /**
   * State of a peer.
   *
   * @param address its address
   * @param status the last status that it published
   * @param lastReceivedAt when the last message from it was received; {@link Instant#MIN} if none
   *     was
   * @param discoveredAt when its address was discovered
   * @param hubSince since when this node considers it a hub; {@link Instant#MAX} if it does not
   */
  public record Peer(
      NodeAddress address,
      PeerStatus status,
      Instant lastReceivedAt,
      Instant discoveredAt,
      Instant hubSince) {

    static Peer discovered(NodeAddress address, Instant now) {
      return new Peer(address, PeerStatus.UNKNOWN, Instant.MIN, now, Instant.MAX);
    }

    /**
     * Returns this peer with the address of a newer incarnation, which has missed no heartbeat yet.
     */
    Peer withAddress(NodeAddress newAddress) {
      return new Peer(newAddress, status, lastReceivedAt, discoveredAt, Instant.MAX);
    }

    Peer withLastReceivedAt(Instant newLastReceivedAt) {
      return new Peer(address, status, newLastReceivedAt, discoveredAt, hubSince);
    }

    Peer withHubSince(Instant newHubSince) {
      return newHubSince.equals(hubSince)
          ? this
          : new Peer(address, status, lastReceivedAt, discoveredAt, newHubSince);
    }

    /** Returns its identifier. */
    public NodeId node() {
      return address.node();
    }
  }
}
