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
 * Replicates decisions that can't be read back from the log to peers. A decision comes into force
 * once every member of the claim's succession line that is not closed has acknowledged it.
 *
 * <p>A node of the line that takes over counts the decisions it has stored. Any other node that
 * takes over assumes that this controller may have decided anything. Therefore no vote is needed,
 * and replication is safe whatever state the log is in, even if other nodes can reach it.
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

  // Controller side

  /** Discards all acknowledgements; called when a new claim comes into force. */
  void reset() {
    acknowledgedNumbers.clear();
    acknowledgingIncarnations.clear();
    nextSendAt = Instant.MIN;
  }

  /** Sends decisions that the log has not returned, and applies those that are acknowledged. */
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

  /** Returns the succession line in force and those that are appended and may be in force. */
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

  /** Processes a peer's acknowledgement that it has stored decisions. */
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

  // Peer side

  /**
   * Stores decisions of a controller. Acknowledges them only if no newer claim is known, because
   * the sender acts on the acknowledgement.
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
