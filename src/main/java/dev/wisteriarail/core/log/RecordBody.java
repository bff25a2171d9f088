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
   * Claims the control of a cell. Valid if it names the fencing number of the claim before it; its
   * own offset is then the cell's fencing number.
   *
   * @param cell the cell
   * @param holder the claiming node
   * @param incarnation the holder's incarnation
   * @param previous the fencing number that the claim replaces
   * @param line the nodes that are told of decisions made while the log is down
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

    /** Returns a claim that names no successors. */
    public ClaimRecorded(
        CellId cell, NodeId holder, Incarnation incarnation, FencingNumber previous) {
      this(cell, holder, incarnation, previous, List.of());
    }
  }

  /**
   * Gives up a claim: its holder sends no order under it any more. Void if its fencing number is
   * not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   */
  record ClaimReleased(CellId cell, FencingNumber fence) implements RecordBody {}

  /**
   * Says that the holder of a replaced claim is done with it: none of its orders is under way, and
   * none of its decisions is missing from the log. Valid only of that very run.
   *
   * @param cell the cell
   * @param ended the fencing number of the replaced claim
   * @param holder the run that held it
   */
  record ClaimEnded(CellId cell, FencingNumber ended, Successor holder) implements RecordBody {}

  /**
   * Names another line of succession for the claim in force. Void if its fencing number is not the
   * cell's, or if its number is not above the last one's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param number number of the change under that claim, from 1 on
   * @param line the nodes that are told of decisions made while the log is down
   */
  record SuccessionNamed(CellId cell, FencingNumber fence, long number, List<Successor> line)
      implements RecordBody {

    /** Copies the list. */
    public SuccessionNamed {
      line = List.copyOf(line);
    }
  }

  /**
   * Takes over a replica that an earlier controller decided without the log. Void if its fencing
   * number is not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param origin the fencing number of the controller that decided it
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
   * States that all decisions that an earlier controller may have made without the log are in the
   * log or without effect. Void if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the fencing number of the claim
   * @param predecessor the fencing number of the earlier claim
   */
  record PredecessorAbsorbed(CellId cell, FencingNumber fence, FencingNumber predecessor)
      implements RecordBody {}

  /**
   * States that no order to load a replica is under way any more. Void if its fencing number is not
   * the cell's.
   *
   * @param cell the cell
   * @param fence the controller's fencing number
   * @param replica the replica
   */
  record LoadSettled(CellId cell, FencingNumber fence, ReplicaId replica) implements RecordBody {}

  /**
   * Decides to load a replica. Void if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the deciding controller's fencing number
   * @param replica the replica
   * @param model its model
   * @param version the model's version
   * @param runner the runner that gets it
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
   * Decides to unload a replica. Void if its fencing number is not the cell's.
   *
   * @param cell the cell
   * @param fence the deciding controller's fencing number
   * @param replica the replica
   */
  record UnloadDecided(CellId cell, FencingNumber fence, ReplicaId replica) implements RecordBody {}

  /**
   * Frees a replica's reservation: it is gone and cannot come back. Void if its fencing number is
   * not the cell's.
   *
   * @param cell the cell
   * @param fence the controller's fencing number
   * @param replica the replica
   * @param reason why it can no longer exist
   */
  record ReplicaClosed(CellId cell, FencingNumber fence, ReplicaId replica, String reason)
      implements RecordBody {}

  // Requests that run at most once

  /** A change of what is known of one idempotency key. */
  sealed interface IntentChange extends RecordBody {

    /** Returns the customer. */
    CustomerId customer();

    /** Returns the customer's idempotency key. */
    IdempotencyKey key();

    /** Returns the request that the change is about. */
    RequestId request();
  }

  /**
   * States that a node is about to run a non-repeatable request. The first record of a customer's
   * key wins; a later one changes nothing.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param bodyHash hash of the request's target and content
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
   * Keeps the answer of a finished non-repeatable request. Void unless the request holds the key.
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
   * States that a non-repeatable request was handed over and that no answer of it is kept. Void
   * unless the request holds the key.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param request the request
   * @param execution whether it ran, as far as its owner knows
   * @param reason an English sentence
   */
  record IntentUnresolved(
      CustomerId customer,
      IdempotencyKey key,
      RequestId request,
      Execution execution,
      String reason)
      implements IntentChange {}

  /**
   * Frees a key: its owner has not handed the request over and never will. Void unless the request
   * holds the key.
   *
   * @param customer the customer
   * @param key its idempotency key
   * @param request the request that was given up
   */
  record IntentReleased(CustomerId customer, IdempotencyKey key, RequestId request)
      implements IntentChange {}

  /**
   * Several changes appended as one record, in order.
   *
   * @param changes the changes
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
   * @param fingerprint hash of the request's customer, target and content
   * @param runner the backend server
   * @param incarnation the run of it that was lost
   */
  record CrashSuspected(String fingerprint, RunnerId runner, Incarnation incarnation)
      implements RecordBody {}

  /**
   * Takes back a {@link CrashSuspected}: that run of the backend server was not lost.
   *
   * @param fingerprint hash of the request's customer, target and content
   * @param runner the backend server
   * @param incarnation the run of it
   */
  record CrashRetracted(String fingerprint, RunnerId runner, Incarnation incarnation)
      implements RecordBody {}

  /**
   * Clears a request's content of all crashes, after it completed or by an operator.
   *
   * @param fingerprint hash of the request's customer, target and content
   * @param author the node or operator
   * @param reason an English sentence
   */
  record SuspicionCleared(String fingerprint, String author, String reason) implements RecordBody {}

  // Configuration

  /**
   * Proposes a team's answers. Accepted if it names the revision at which the section last changed.
   *
   * @param basedOn the section's revision that the change was made from
   * @param section the answers
   * @param author who published it
   * @param reason why
   */
  record ConfigurationChanged(Revision basedOn, Section section, String author, String reason)
      implements RecordBody {}

  // Snapshots

  /**
   * A chunk of a snapshot of all ledgers. It changes no ledger; readers that lack records start
   * from it.
   *
   * @param cell the cell whose ledger the snapshot holds
   * @param name tells the snapshots apart
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
