package dev.wisteriarail.core.log;

import dev.wisteriarail.core.cell.Successor;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.List;

/** The content of a log record. */
public sealed interface RecordBody {

  // Control of cells

  /**
   * Claims control of a cell. Valid if it names the fencing number of the previous claim. The
   * record's offset then becomes the cell's fencing number.
   *
   * @param cell the cell
   * @param holder the claiming node
   * @param incarnation the holder's incarnation
   * @param previous the fencing number that the claim replaces
   * @param line the line of succession: nodes that receive the decisions made during a log outage
   */
  record ClaimRecorded(
      CellId cell,
      NodeId holder,
      Incarnation incarnation,
      FencingNumber previous,
      List<Successor> line)
      implements RecordBody {

    /** Copies the list. */
    public ClaimRecorded {
      line = List.copyOf(line);
    }

    /** Creates a claim without successors. */
    public ClaimRecorded(
        CellId cell, NodeId holder, Incarnation incarnation, FencingNumber previous) {
      this(cell, holder, incarnation, previous, List.of());
    }
  }

  /**
   * Releases a claim: its holder sends no more orders under it. Ignored if its fencing number is
   * not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   */
  record ClaimReleased(CellId cell, FencingNumber fence) implements RecordBody {}

  /**
   * States that the holder of a replaced claim has finished with it: none of its orders is in
   * flight, and all of its decisions are in the log. Valid only for the same incarnation of the
   * holder.
   *
   * @param cell the cell
   * @param ended the fencing number of the replaced claim
   * @param holder the node and incarnation that held it
   */
  record ClaimEnded(CellId cell, FencingNumber ended, Successor holder) implements RecordBody {}

  /**
   * Replaces the line of succession of the claim in force. Ignored if its fencing number is not the
   * cell's, or if its number is not higher than that of the last change.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param number sequence number of the change under that claim, starting at 1
   * @param line the nodes that receive the decisions made during a log outage
   */
  record SuccessionNamed(CellId cell, FencingNumber fence, long number, List<Successor> line)
      implements RecordBody {

    /** Copies the list. */
    public SuccessionNamed {
      line = List.copyOf(line);
    }
  }

  /**
   * Adopts a replica whose load an earlier controller decided during a log outage. Ignored if its
   * fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param origin the fencing number of the controller that decided the load
   * @param replica the replica
   * @param model its model
   * @param version the model's version
   * @param runner its runner
   * @param bytes accelerator memory reserved for it, in bytes
   */
  record LoadAdopted(
      CellId cell,
      FencingNumber fence,
      FencingNumber origin,
      ReplicaId replica,
      ModelId model,
      String version,
      RunnerId runner,
      long bytes)
      implements RecordBody {}

  /**
   * States that all decisions that an earlier controller may have made during a log outage are
   * either in the log or without effect. Ignored if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param predecessor the fencing number of the earlier claim
   */
  record PredecessorAbsorbed(CellId cell, FencingNumber fence, FencingNumber predecessor)
      implements RecordBody {}

  /**
   * States that no order to load a replica is in flight any more. Ignored if its fencing number is
   * not the cell's.
   *
   * @param cell the cell
   * @param fence the controller's fencing number
   * @param replica the replica
   */
  record LoadSettled(CellId cell, FencingNumber fence, ReplicaId replica) implements RecordBody {}

  /**
   * Decision to load a replica. Ignored if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the deciding controller's fencing number
   * @param replica the replica
   * @param model its model
   * @param version the model's version
   * @param runner the runner that loads it
   * @param bytes accelerator memory reserved for it, in bytes
   */
  record LoadDecided(
      CellId cell,
      FencingNumber fence,
      ReplicaId replica,
      ModelId model,
      String version,
      RunnerId runner,
      long bytes)
      implements RecordBody {}

  /**
   * Decision to unload a replica. Ignored if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the deciding controller's fencing number
   * @param replica the replica
   */
  record UnloadDecided(CellId cell, FencingNumber fence, ReplicaId replica) implements RecordBody {}

  /**
   * Releases a replica's reservation, because the replica no longer exists and cannot reappear.
   * Ignored if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the controller's fencing number
   * @param replica the replica
   * @param reason why it can no longer exist
   */
  record ReplicaClosed(CellId cell, FencingNumber fence, ReplicaId replica, String reason)
      implements RecordBody {}

  // At-most-once requests

  /** A change to the state of an idempotency key. */
  sealed interface IntentChange extends RecordBody {

    /** Returns the customer. */
    CustomerId customer();

    /** Returns the customer's idempotency key. */
    IdempotencyKey key();

    /** Returns the request that used the key. */
    RequestId request();
  }

  /**
   * States that a node is about to run a non-repeatable request. The first record for a customer's
   * key takes effect; later ones are ignored.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param bodyHash hash of the request's target and body
   * @param request the request
   * @param owner the node that may run it
   * @param incarnation the owner's incarnation
   */
  record IntentRecorded(
      CustomerId customer,
      IdempotencyKey key,
      String bodyHash,
      RequestId request,
      NodeId owner,
      Incarnation incarnation)
      implements IntentChange {}

  /**
   * Stores the answer of a completed non-repeatable request. Ignored unless the request holds the
   * key.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param request the request that ran
   * @param status HTTP status of the answer
   * @param answer the answer's body
   */
  record IntentFinished(
      CustomerId customer, IdempotencyKey key, RequestId request, int status, String answer)
      implements IntentChange {}

  /**
   * States that a non-repeatable request was sent to a backend server but no answer is stored.
   * Ignored unless the request holds the key.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param request the request
   * @param execution whether it ran, as far as its owner knows
   * @param reason human-readable reason
   */
  record IntentUnresolved(
      CustomerId customer,
      IdempotencyKey key,
      RequestId request,
      Execution execution,
      String reason)
      implements IntentChange {}

  /**
   * Releases a key whose owner has not sent the request to a backend server and never will. Ignored
   * unless the request holds the key.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param request the abandoned request
   */
  record IntentReleased(CustomerId customer, IdempotencyKey key, RequestId request)
      implements IntentChange {}

  /**
   * Several changes in one record.
   *
   * @param changes the changes, in order
   */
  record IntentBatch(List<IntentChange> changes) implements RecordBody {

    /** Copies the list. */
    public IntentBatch {
      changes = List.copyOf(changes);
    }
  }

  // Requests that crash backend servers

  /**
   * States that a backend server was lost while it ran a request.
   *
   * @param fingerprint hash of the request's customer, target and body
   * @param runner the backend server
   * @param incarnation the incarnation that was lost
   */
  record CrashSuspected(String fingerprint, RunnerId runner, Incarnation incarnation)
      implements RecordBody {}

  /**
   * Retracts a {@link CrashSuspected}: that incarnation of the backend server was not lost.
   *
   * @param fingerprint hash of the request's customer, target and body
   * @param runner the backend server
   * @param incarnation its incarnation
   */
  record CrashRetracted(String fingerprint, RunnerId runner, Incarnation incarnation)
      implements RecordBody {}

  /**
   * Clears all suspected crashes of a request's fingerprint, after a request with this fingerprint
   * completed or by decision of an operator.
   *
   * @param fingerprint hash of the request's customer, target and body
   * @param author the node or operator
   * @param reason human-readable reason
   */
  record SuspicionCleared(String fingerprint, String author, String reason) implements RecordBody {}

  // Configuration

  /**
   * Proposes a new version of a section. Rejected unless it is based on the revision at which the
   * section last changed.
   *
   * @param basedOn the section's revision on which the change is based
   * @param section the new section
   * @param author who published it
   * @param reason human-readable reason
   */
  record ConfigurationChanged(Revision basedOn, Section section, String author, String reason)
      implements RecordBody {}

  // Snapshots

  /**
   * A chunk of a snapshot of all replicated states. It changes no state; readers that lack records
   * start from the snapshot.
   *
   * @param cell the cell whose state the snapshot contains
   * @param name identifies the snapshot
   * @param through offset of the last record that the snapshot covers
   * @param index number of chunks before this one
   * @param count number of chunks
   * @param parts the chunk's parts
   */
  record SnapshotChunk(
      CellId cell, String name, long through, int index, int count, List<SnapshotPart> parts)
      implements RecordBody {

    /** Copies the list. */
    public SnapshotChunk {
      parts = List.copyOf(parts);
    }
  }
}
