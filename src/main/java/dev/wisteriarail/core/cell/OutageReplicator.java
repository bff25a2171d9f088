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
final class OutageReplicator {

  private static final int MAX_RECORDS_PER_MESSAGE = 32;
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(200);

  private final CellState cellState;
  private final ClosedIncarnations closedIncarnations;
  private final PendingRecords pendingRecords;
  private final Map<NodeId, Set<Long>> acknowledgedNumbers = new TreeMap<>();
  private final Map<NodeId, Incarnation> acknowledgingIncarnations = new TreeMap<>();
  private Instant nextSendAt = Instant.MIN;

  OutageReplicator(
      CellState cellState, ClosedIncarnations closedIncarnations, PendingRecords pendingRecords) {
    this.cellState = cellState;
    this.closedIncarnations = closedIncarnations;
    this.pendingRecords = pendingRecords;
  }

  // The controller's side

  /** Forgets what peers keep; another claim holds. */
  void reset() {
    acknowledgedNumbers.clear();
    acknowledgingIncarnations.clear();
    nextSendAt = Instant.MIN;
  }

  /** Tells peers what the log has not given back, and counts what the line keeps. */
  void advance(Step step, ControllerContext context) {
    boolean hasLine = cellState.claim().filter(claim -> !claim.line().isEmpty()).isPresent();
    if (!hasLine) {
      return;
    }
    List<OutageRecord> records =
        pendingRecords.markForReplication(step.now(), context.log().isDown(step.now()));
    if (records.isEmpty()) {
      return;
    }
    applyAcknowledged(records, step);
    if (!step.now().isBefore(nextSendAt) || pendingRecords.pollNewlyReplicated()) {
      nextSendAt = step.now().plus(RESEND_INTERVAL);
      context.membership().peers().forEach(peer -> sendUnacknowledged(peer, records, step));
    }
  }

  private void applyAcknowledged(List<OutageRecord> records, Step step) {
    for (OutageRecord record : records) {
      if (!isAcknowledgedByLine(record, step.now())) {
        return;
      }
      if (pendingRecords.markInForce(record.id())) {
        cellState.addOutageRecord(cellState.fence(), record);
        step.log(EventCode.OUTAGE_DECISION, "record", record.id());
      }
    }
  }

  private boolean isAcknowledgedByLine(OutageRecord record, Instant now) {
    return requiredSuccessors()
        .filter(member -> !closedIncarnations.isClosed(member.node(), member.incarnation(), now))
        .allMatch(
            member ->
                member.incarnation().equals(acknowledgingIncarnations.get(member.node()))
                    && acknowledgedNumbers.get(member.node()).contains(record.number()));
  }

  /** Returns the line in force together with those that may be in force by now. */
  private Stream<Successor> requiredSuccessors() {
    Stream<Successor> named =
        pendingRecords.bodies().stream()
            .filter(RecordBody.SuccessionNamed.class::isInstance)
            .flatMap(body -> ((RecordBody.SuccessionNamed) body).line().stream());
    return Stream.concat(cellState.claim().orElseThrow().line().stream(), named);
  }

  private void sendUnacknowledged(NodeId peer, List<OutageRecord> records, Step step) {
    Set<Long> acknowledged = acknowledgedNumbers.getOrDefault(peer, Set.of());
    List<OutageRecord> unacknowledged =
        records.stream()
            .filter(record -> !acknowledged.contains(record.number()))
            .limit(MAX_RECORDS_PER_MESSAGE)
            .toList();
    if (!unacknowledged.isEmpty()) {
      step.emit(
          new Effect.SendPeer(
              peer, new PeerMessage.OutageRecords(cellState.fence(), unacknowledged)));
    }
  }

  /** Takes a peer's word that it keeps decisions. */
  void acceptAcknowledgement(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecordsKept message) {
    if (!message.fence().equals(cellState.fence())) {
      return;
    }
    if (!incarnation.equals(acknowledgingIncarnations.put(from, incarnation))) {
      acknowledgedNumbers.put(from, new TreeSet<>());
    }
    acknowledgedNumbers.get(from).addAll(message.numbers());
  }

  // The peers' side

  /**
   * Keeps what a controller told. Says so only where no newer claim is known: the sender acts on
   * that word.
   */
  void acceptRecords(
      NodeId from, Incarnation incarnation, PeerMessage.OutageRecords message, Step step) {
    boolean replaced = cellState.isUnabsorbed(message.fence(), from, incarnation);
    boolean inForce = isFromController(from, incarnation, message.fence());
    if (inForce || replaced) {
      message.records().forEach(record -> cellState.addOutageRecord(message.fence(), record));
    }
    if (inForce) {
      List<Long> numbers = message.records().stream().map(OutageRecord::number).toList();
      step.emit(
          new Effect.SendPeer(from, new PeerMessage.OutageRecordsKept(message.fence(), numbers)));
    }
  }

  private boolean isFromController(NodeId from, Incarnation incarnation, FencingNumber fence) {
    boolean isNewer = fence.compareTo(cellState.fence()) > 0;
    boolean isCurrent =
        fence.equals(cellState.fence())
            && cellState.claim().filter(claim -> claim.isHeldBy(from, incarnation)).isPresent();
    return isNewer || isCurrent;
  }
}
