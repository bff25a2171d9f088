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

  /** Returns whether a later message of the kind makes up for the loss of this one. */
  default boolean isRepeated() {
    return false;
  }

  /** Returns whether the message goes before others that wait for the same peer. */
  default boolean urgent() {
    return false;
  }

  /**
   * Shows that the sender lives, and what it knows.
   *
   * @param revision the configuration that is in force on it
   * @param fence the highest fencing number of its cell that it has read
   * @param draining whether it is shutting down
   */
  record Heartbeat(Revision revision, FencingNumber fence, boolean draining)
      implements PeerMessage {}

  /**
   * Reports to the controller what the sender's callers want.
   *
   * @param demands one entry a model; models without an entry want nothing
   */
  record DemandReported(List<Demand> demands) implements PeerMessage {

    /** Copies the list. */
    public DemandReported {
      demands = List.copyOf(demands);
    }
  }

  /** Asks for a heartbeat at once. */
  record Probe() implements PeerMessage {}

  /**
   * Says which runs of nodes the sender has not heard for too long.
   *
   * @param runs the runs
   */
  record Suspected(List<SuspectedRun> runs) implements PeerMessage {

    /** Copies the list. */
    public Suspected {
      runs = List.copyOf(runs);
    }
  }

  /**
   * One run of a node.
   *
   * @param node the node
   * @param incarnation its newest incarnation that the sender knows
   */
  record SuspectedRun(NodeId node, Incarnation incarnation) {}

  /**
   * Asks a peer that is ahead for its state.
   *
   * @param have the revision that is in force on the sender
   */
  record StateRequested(Revision have) implements PeerMessage {}

  /**
   * Offers a chunk of the sender's state.
   *
   * @param name tells the states of one sender apart
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
   * Asks the controller to append changes of idempotency keys together with those of other nodes.
   * It is not answered: the sender reads the changes back from the log, or appends them itself.
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
   * Tells decisions that the controller could not read back from the log.
   *
   * @param fence the fencing number of its claim
   * @param records the decisions in their order
   */
  record OutageRecords(FencingNumber fence, List<OutageRecord> records) implements PeerMessage {

    /** Copies the list. */
    public OutageRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * Says that the sender keeps decisions that it was told, and counts them should it take over.
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

  /** Says that the sender has stopped: it sends no order and no dispatch any more. */
  record Goodbye() implements PeerMessage {}
}
