package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.ConfigurationState;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.LogHealth;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Fetches accepted configuration revisions from peers if this node cannot get them from the log.
 *
 * <p>Heartbeats carry the sender's revision. A node that remains behind sends a request to one peer
 * that is ahead. The peer responds with its configuration, or with all its replicated states if the
 * requesting node has no configuration at all. A revision has the same content on every node, so
 * comparing revision numbers is sufficient.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class PeerCatchUp {

  /** Time to wait for a revision to arrive from the log before a peer is asked for it. */
  private static final Duration LOG_GRACE_PERIOD = Duration.ofSeconds(1);

  /** Minimum time between two requests of this node, and between two responses to one peer. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(900);

  private final ConfigurationState configurations;
  private final LogFollower logFollower;
  private final LogHealth logHealth;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final Map<NodeId, Revision> peersAhead = new TreeMap<>();
  private final Map<NodeId, Instant> lastAnswered = new TreeMap<>();
  private Optional<Instant> behindSince = Optional.empty();
  private Optional<Instant> nextRequest = Optional.empty();
  private Optional<NodeId> lastRequestedPeer = Optional.empty();

  private PeerCatchUp(
      ConfigurationState configurations, LogFollower logFollower, LogHealth logHealth) {
    this.configurations = configurations;
    this.logFollower = logFollower;
    this.logHealth = logHealth;
  }

  /** Creates the catch-up of a node that knows no peer revisions yet. */
  public static PeerCatchUp create(
      ConfigurationState configurations, LogFollower logFollower, LogHealth logHealth) {
    return new PeerCatchUp(configurations, logFollower, logHealth);
  }

  // Updates

  /** Processes the revision in a peer's heartbeat. */
  public void acceptRevision(NodeId peer, Revision revision, Instant now) {
    if (revision.compareTo(ownRevision()) <= 0) {
      peersAhead.remove(peer);
      return;
    }
    peersAhead.put(peer, revision);
    if (behindSince.isEmpty()) {
      behindSince = Optional.of(now);
    }
  }

  /** Responds to the request of a peer that is behind. */
  public void acceptRequest(NodeId peer, Revision peerRevision, Step step) {
    boolean tooSoon =
        lastAnswered.containsKey(peer)
            && step.now().isBefore(lastAnswered.get(peer).plus(MIN_INTERVAL));
    if (peerRevision.compareTo(ownRevision()) >= 0 || tooSoon) {
      return;
    }
    lastAnswered.put(peer, step.now());
    Snapshot snapshot = logFollower.snapshot();
    boolean isNew = peerRevision.equals(Revision.NONE);
    Snapshot offered =
        isNew ? snapshot : new Snapshot(snapshot.through(), configurations.snapshot());
    String name = ownRevision() + "." + snapshot.through() + (isNew ? ".all" : "");
    List<List<SnapshotPart>> chunks = offered.chunks();
    for (int i = 0; i < chunks.size(); i++) {
      step.emit(
          new Effect.SendPeer(
              peer,
              new PeerMessage.StateOffered(
                  name, offered.through(), i, chunks.size(), chunks.get(i))));
    }
  }

  /** Processes a chunk of a peer's state. A complete state is applied if it is newer. */
  public void acceptOffer(NodeId peer, PeerMessage.StateOffered offer, Step step) {
    Optional<Snapshot> snapshot =
        assembler.add(
            peer + "." + offer.name(),
            offer.through(),
            offer.index(),
            offer.count(),
            offer.parts());
    if (snapshot.isEmpty()) {
      return;
    }
    Revision before = ownRevision();
    boolean startsFresh =
        before.equals(Revision.NONE) && logFollower.initializeFrom(snapshot.get());
    if (!startsFresh) {
      configurations.restore(snapshot.get().parts(), snapshot.get().through());
    }
    if (ownRevision().compareTo(before) > 0) {
      step.log(EventCode.SNAPSHOT_TAKEN, "peer", peer, "revision", ownRevision());
    }
  }

  /**
   * Sends a request to a peer if this node is behind and the log has not delivered the revision.
   */
  public void advance(Step step) {
    peersAhead.values().removeIf(revision -> revision.compareTo(ownRevision()) <= 0);
    if (peersAhead.isEmpty()) {
      behindSince = Optional.empty();
      nextRequest = Optional.empty();
      return;
    }
    Instant due = nextRequest.orElseGet(() -> firstRequestTime(step.now()));
    nextRequest = Optional.of(due);
    if (step.now().isBefore(due)) {
      return;
    }
    NodeId peer = choosePeer();
    lastRequestedPeer = Optional.of(peer);
    nextRequest = Optional.of(step.now().plus(MIN_INTERVAL));
    step.emit(new Effect.SendPeer(peer, new PeerMessage.StateRequested(ownRevision())));
  }

  private Instant firstRequestTime(Instant now) {
    boolean logHelps = logHealth.wasRead() && !logHealth.isDown(now) && logFollower.isCurrent();
    Instant since = behindSince.orElse(now);
    return logHelps ? since.plus(LOG_GRACE_PERIOD) : now;
  }

  /**
   * Returns the peer that is furthest ahead, without the last requested one if there are others.
   */
  private NodeId choosePeer() {
    NodeId best = null;
    for (NodeId peer : peersAhead.keySet()) {
      boolean isRepeat =
          peersAhead.size() > 1 && lastRequestedPeer.filter(peer::equals).isPresent();
      if (!isRepeat && (best == null || peersAhead.get(peer).compareTo(peersAhead.get(best)) > 0)) {
        best = peer;
      }
    }
    return best;
  }

  // Accessors

  /** Returns when the next request is due. */
  public Optional<Instant> nextWakeUp() {
    return nextRequest;
  }

  private Revision ownRevision() {
    return configurations.current().revision();
  }
}
