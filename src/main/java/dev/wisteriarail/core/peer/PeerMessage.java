package dev.wisteriarail.core.peer;

import dev.wisteriarail.core.cell.OutageRecord;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.List;

/** A message between two nodes. The transport adds the sender and its incarnation. */
public sealed interface PeerMessage
    permits FleetMessage,
        PeerMessage.Heartbeat,
        PeerMessage.DemandReported,
        PeerMessage.Probe,
        PeerMessage.Suspected,
        PeerMessage.StateRequested,
        PeerMessage.StateOffered,
        PeerMessage.IntentsOffered,
        PeerMessage.OutageRecords,
        PeerMessage.OutageRecordsKept,
        PeerMessage.Goodbye {

  /** Returns whether a later message of the same type makes up for the loss of this one. */
  default boolean isRepeated() {
    return false;
  }

  /** Returns whether the message is sent before others that are queued for the same peer. */
  default boolean urgent() {
    return false;
  }

  /**
   * Heartbeat of a live node.
   *
   * @param revision the configuration revision in force on the sender
   * @param fence the highest fencing number of its cell that it has read from the log
   * @param draining whether the sender is shutting down
   */
  record Heartbeat(Revision revision, FencingNumber fence, boolean draining)
      implements PeerMessage {}

  /**
   * Reports the demand of the sender's callers to the controller.
   *
   * @param demands one entry per model; models without an entry have no demand
   */
  record DemandReported(List<Demand> demands) implements PeerMessage {

    /** Copies the list. */
    public DemandReported {
      demands = List.copyOf(demands);
    }
  }

  /** Requests an immediate heartbeat. */
  record Probe() implements PeerMessage {}

  /**
   * Reports nodes from which the sender has not received a message for too long.
   *
   * @param runs the suspected incarnations of the nodes
   */
  record Suspected(List<SuspectedRun> runs) implements PeerMessage {

    /** Copies the list. */
    public Suspected {
      runs = List.copyOf(runs);
    }
  }

  /**
   * One incarnation of a node.
   *
   * @param node the node
   * @param incarnation its newest incarnation that the sender knows
   */
  record SuspectedRun(NodeId node, Incarnation incarnation) {}

  /**
   * Requests the state of a peer that is ahead.
   *
   * @param have the configuration revision in force on the sender
   */
  record StateRequested(Revision have) implements PeerMessage {}

  /**
   * Sends a chunk of the sender's state.
   *
   * @param name identifies the state among those of the sender
   * @param through offset of the last log record that the state covers
   * @param index number of chunks before this one
   * @param count number of chunks
   * @param parts the chunk's parts
   */
  record StateOffered(String name, long through, int index, int count, List<SnapshotPart> parts)
      implements PeerMessage {

    /** Copies the list. */
    public StateOffered {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Asks the controller to append changes of idempotency keys in one batch with those of other
   * nodes. There is no response: the sender reads the changes back from the log, or appends them
   * itself.
   *
   * @param changes the changes
   */
  record IntentsOffered(List<RecordBody.IntentChange> changes) implements PeerMessage {

    /** Copies the list. */
    public IntentsOffered {
      changes = List.copyOf(changes);
    }
  }

  /**
   * Sends decisions that the controller could not read back from the log.
   *
   * @param fence the fencing number of the controller's claim
   * @param records the decisions, in order
   */
  record OutageRecords(FencingNumber fence, List<OutageRecord> records) implements PeerMessage {

    /** Copies the list. */
    public OutageRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * Acknowledges received decisions: the sender stores them and takes them into account if it
   * becomes the controller.
   *
   * @param fence the fencing number of the claim under which they were made
   * @param numbers the numbers of the decisions
   */
  record OutageRecordsKept(FencingNumber fence, List<Long> numbers) implements PeerMessage {

    /** Copies the list. */
    public OutageRecordsKept {
      numbers = List.copyOf(numbers);
    }
  }

  /** Announces that the sender has stopped: it sends no more orders and dispatches. */
  record Goodbye() implements PeerMessage {}
}
