package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Brings decisions into force that can't be read back from the log: each node of the claim's line
 * of succession has to keep them first.
 *
 * <p>A node of the line that takes over counts what it kept; any other node that takes over treats
 * this controller as one that may have decided anything. So no vote is needed, and it is safe
 * whatever the log does meanwhile, also if other nodes can reach it.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class OutageRelay {

  private static final int MAX_RECORDS = 32;
  private static final Duration RESEND = Duration.ofMillis(200);

  private final CellLedger ledger;
  private final Closures closures;
  private final PendingRecords pending;
  private final Map<NodeId, Set<Long>> kept = new TreeMap<>();
  private final Map<NodeId, Incarnation> keepers = new TreeMap<>();
  private Instant nextSend = Instant.MIN;

  OutageRelay(CellLedger ledger, Closures closures, PendingRecords pending) {
    this.ledger = ledger;
    this.closures = closures;
    this.pending = pending;
  }

  // The controller's side

  /** Forgets what peers keep; another claim holds. */
  void reset() {
    kept.clear();
    keepers.clear();
    nextSend = Instant.MIN;
  }

  /** Tells peers what the log has not given back, and counts what the line keeps. */
  void advance(Step step, Surroundings around) {
    boolean hasLine = ledger.claim().filter(claim -> !claim.line().isEmpty()).isPresent();
    if (!hasLine) {
      return;
    }
    List<OutageRecord> shared = pending.share(step.now(), around.log().isDown(step.now()));
    if (shared.isEmpty()) {
      return;
    }
    enforce(shared, step);
    if (!step.now().isBefore(nextSend) || pending.hasNews()) {
      nextSend = step.now().plus(RESEND);
      around.membership().peers().forEach(peer -> tell(peer, shared, step));
    }
  }

  private void enforce(List<OutageRecord> shared, Step step) {
    for (OutageRecord decision : shared) {
      if (!isKeptByLine(decision, step.now())) {
        return;
      }
      if (pending.enforce(decision.id())) {
        ledger.keep(ledger.fence(), decision);
        step.log(EventCode.OUTAGE_DECISION, "record", decision.id());
      }
    }
  }

  private boolean isKeptByLine(OutageRecord decision, Instant now) {
    return lines()
        .filter(member -> !closures.isClosed(member.node(), member.incarnation(), now))
        .allMatch(
            member ->
                member.incarnation().equals(keepers.get(member.node()))
                    && kept.get(member.node()).contains(decision.number()));
  }

  /** Returns the line in force together with those that may be in force by now. */
  private Stream<Successor> lines() {
    Stream<Successor> named =
        pending.bodies().stream()
            .filter(RecordBody.SuccessionNamed.class::isInstance)
            .flatMap(body -> ((RecordBody.SuccessionNamed) body).line().stream());
    return Stream.concat(ledger.claim().orElseThrow().line().stream(), named);
  }

  private void tell(NodeId peer, List<OutageRecord> shared, Step step) {
    Set<Long> known = kept.getOrDefault(peer, Set.of());
    List<OutageRecord> missing =
        shared.stream()
            .filter(decision -> !known.contains(decision.number()))
            .limit(MAX_RECORDS)
            .toList();
    if (!missing.isEmpty()) {
      step.emit(new Effect.SendPeer(peer, new PeerMessage.OutageRecords(ledger.fence(), missing)));
    }
  }

  /** Takes a peer's word that it keeps decisions. */
  void acceptKept(NodeId from, Incarnation incarnation, PeerMessage.OutageRecordsKept message) {
    if (!message.fence().equals(ledger.fence())) {
      return;
    }
    if (!incarnation.equals(keepers.put(from, incarnation))) {
      kept.put(from, new TreeSet<>());
    }
    kept.get(from).addAll(message.numbers());
  }

  // The peers' side

  /**
   * Keeps what a controller told. Says so only where no newer claim is known: the sender acts on
   * that word.
   */
  void acceptRecords(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecords message, Step step) {
    boolean replaced = ledger.isUnabsorbed(message.fence(), from, incarnation);
    boolean inForce = isFromController(from, incarnation, message.fence());
    if (inForce || replaced) {
      message.records().forEach(decision -> ledger.keep(message.fence(), decision));
    }
    if (inForce) {
      List<Long> numbers = message.records().stream().map(OutageRecord::number).toList();
      step.emit(
          new Effect.SendPeer(from, new PeerMessage.OutageRecordsKept(message.fence(), numbers)));
    }
  }

  private boolean isFromController(NodeId from, Incarnation incarnation, FencingNumber fence) {
    boolean unread = fence.compareTo(ledger.fence()) > 0;
    boolean current =
        fence.equals(ledger.fence())
            && ledger.claim().filter(claim -> claim.isHeldBy(from, incarnation)).isPresent();
    return unread || current;
  }
}
