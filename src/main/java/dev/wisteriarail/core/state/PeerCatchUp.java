package dev.wisteriarail.core.state;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.ConfigurationLedger;
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
 * Gets accepted revisions from peers where this node does not get them from the log.
 *
 * <p>Heartbeats carry the sender's revision. A node that stays behind asks one peer that is ahead;
 * the peer answers with its configuration, or with all its ledgers if the asking node has nothing.
 * Revisions stand for the same content everywhere, so only the greater number has to be compared.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
public final class PeerCatchUp {

  /** Time that the log gets to bring a revision before a peer is asked. */
  private static final Duration PATIENCE = Duration.ofSeconds(1);

  /** Least time between two questions of this node, and between two answers to one peer. */
  private static final Duration INTERVAL = Duration.ofMillis(900);

  private final ConfigurationLedger configurations;
  private final LogState state;
  private final LogHealth health;
  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private final Map<NodeId, Revision> ahead = new TreeMap<>();
  private final Map<NodeId, Instant> answered = new TreeMap<>();
  private Optional<Instant> behindSince = Optional.empty();
  private Optional<Instant> nextAsk = Optional.empty();
  private Optional<NodeId> lastAsked = Optional.empty();

  private PeerCatchUp(ConfigurationLedger configurations, LogState state, LogHealth health) {
    this.configurations = configurations;
    this.state = state;
    this.health = health;
  }

  /** Returns the catch-up of a node that has heard of no peer. */
  public static PeerCatchUp create(
      ConfigurationLedger configurations, LogState state, LogHealth health) {
    return new PeerCatchUp(configurations, state, health);
  }

  // Updates

  /** Takes the revision that a peer's heartbeat carries. */
  public void acceptRevision(NodeId peer, Revision revision, Instant now) {
    if (revision.compareTo(own()) <= 0) {
      ahead.remove(peer);
      return;
    }
    ahead.put(peer, revision);
    if (behindSince.isEmpty()) {
      behindSince = Optional.of(now);
    }
  }

  /** Answers a peer that is behind. */
  public void acceptRequest(NodeId peer, Revision have, Step step) {
    boolean tooSoon =
        answered.containsKey(peer) && step.now().isBefore(answered.get(peer).plus(INTERVAL));
    if (have.compareTo(own()) >= 0 || tooSoon) {
      return;
    }
    answered.put(peer, step.now());
    Snapshot whole = state.snapshot();
    boolean isNew = have.equals(Revision.NONE);
    Snapshot offered = isNew ? whole : new Snapshot(whole.through(), configurations.snapshot());
    String name = own() + "." + whole.through() + (isNew ? ".all" : "");
    List<List<LedgerSnapshot>> chunks = offered.chunks();
    for (int i = 0; i < chunks.size(); i++) {
      step.emit(
          new Effect.SendPeer(
              peer,
              new PeerMessage.StateOffered(
                  name, offered.through(), i, chunks.size(), chunks.get(i))));
    }
  }

  /** Takes a chunk of a peer's state; the whole is put into force if it is newer. */
  public void acceptOffer(NodeId peer, PeerMessage.StateOffered offer, Step step) {
    Optional<Snapshot> whole =
        assembler.accept(
            peer + "." + offer.name(),
            offer.through(),
            offer.index(),
            offer.count(),
            offer.parts());
    if (whole.isEmpty()) {
      return;
    }
    Revision before = own();
    boolean startsFresh = before.equals(Revision.NONE) && state.startFrom(whole.get());
    if (!startsFresh) {
      configurations.restore(whole.get().parts(), whole.get().through());
    }
    if (own().compareTo(before) > 0) {
      step.log(EventCode.SNAPSHOT_TAKEN, "peer", peer, "revision", own());
    }
  }

  /** Asks a peer where this node is behind and the log does not help. */
  public void advance(Step step) {
    ahead.values().removeIf(revision -> revision.compareTo(own()) <= 0);
    if (ahead.isEmpty()) {
      behindSince = Optional.empty();
      nextAsk = Optional.empty();
      return;
    }
    Instant due = nextAsk.orElseGet(() -> firstAsk(step.now()));
    nextAsk = Optional.of(due);
    if (step.now().isBefore(due)) {
      return;
    }
    NodeId peer = choose();
    lastAsked = Optional.of(peer);
    nextAsk = Optional.of(step.now().plus(INTERVAL));
    step.emit(new Effect.SendPeer(peer, new PeerMessage.StateRequested(own())));
  }

  private Instant firstAsk(Instant now) {
    boolean logHelps = health.wasRead() && !health.isDown(now) && state.isCurrent();
    Instant since = behindSince.orElse(now);
    return logHelps ? since.plus(PATIENCE) : now;
  }

  /** Returns the peer that is furthest ahead, but not the one asked last if there is another. */
  private NodeId choose() {
    NodeId best = null;
    for (NodeId peer : ahead.keySet()) {
      boolean again = ahead.size() > 1 && lastAsked.filter(peer::equals).isPresent();
      if (!again && (best == null || ahead.get(peer).compareTo(ahead.get(best)) > 0)) {
        best = peer;
      }
    }
    return best;
  }

  // Accessors

  /** Returns when the next question is due. */
  public Optional<Instant> nextWakeUp() {
    return nextAsk;
  }

  private Revision own() {
    return configurations.current().revision();
  }
}
