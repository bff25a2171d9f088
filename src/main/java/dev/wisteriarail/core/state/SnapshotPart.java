package dev.wisteriarail.core.state;

import dev.wisteriarail.core.cell.Claim;
import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import java.util.List;
import java.util.Optional;

/** A part of a snapshot. Each {@link ReplicatedState} has its own part types. */
public sealed interface SnapshotPart {

  /**
   * The revision of the configuration.
   *
   * @param revision the revision in force
   * @param through offset up to which changes were applied; may be ahead of the other states
   */
  record ConfigurationPart(Revision revision, long through) implements SnapshotPart {}

  /**
   * One accepted section of the configuration.
   *
   * @param section the section
   * @param revision the revision at which it last changed
   */
  record SectionPart(Section section, Revision revision) implements SnapshotPart {

    @Override
    public int entries() {
      return 1
          + section.models().size()
          + section.adapters().size()
          + section.customers().size()
          + section.kinds().size()
          + section.services().size()
          + section.runners().size();
    }
  }

  /**
   * The state of a cell.
   *
   * @param cell the cell
   * @param fence the last fencing number, of the claim in force or of a released one
   * @param claim the claim in force
   * @param lineNumber number of the last change to the line of succession under that claim
   * @param past replaced claims whose holders may still have orders in flight
   * @param unabsorbed replaced claims whose holders may have made decisions during a log outage
   * @param reservations all reservations
   * @param closed closed replicas whose decisions may still be repeated in the log
   */
  record CellPart(
      CellId cell,
      FencingNumber fence,
      Optional<Claim> claim,
      long lineNumber,
      List<Claim> past,
      List<FencingNumber> unabsorbed,
      List<Reservation> reservations,
      List<ClosedReplica> closed)
      implements SnapshotPart {

    /** Copies the lists. */
    public CellPart {
      past = List.copyOf(past);
      unabsorbed = List.copyOf(unabsorbed);
      reservations = List.copyOf(reservations);
      closed = List.copyOf(closed);
    }

    @Override
    public int entries() {
      return 1 + past.size() + unabsorbed.size() + reservations.size() + closed.size();
    }
  }

  /**
   * A replica whose reservation was released.
   *
   * @param replica the replica
   * @param offset offset of the record that released it
   */
  record ClosedReplica(ReplicaId replica, long offset) {}

  /**
   * A part of the used idempotency keys.
   *
   * @param changes the changes that lead to the state of the keys, in order
   * @param expired hashes of keys that are too old to be kept in full, oldest first
   */
  record IntentPart(List<RecordBody.IntentChange> changes, List<Long> expired)
      implements SnapshotPart {

    /** Copies the lists. */
    public IntentPart {
      changes = List.copyOf(changes);
      expired = List.copyOf(expired);
    }

    @Override
    public int entries() {
      return 1 + changes.size() + expired.size() / Snapshot.NUMBERS_PER_ENTRY;
    }
  }

  /**
   * Crashes of backend servers, with the requests suspected to have caused them.
   *
   * @param crashes the crashes
   */
  record CrashPart(List<RecordBody.CrashSuspected> crashes) implements SnapshotPart {

    /** Copies the list. */
    public CrashPart {
      crashes = List.copyOf(crashes);
    }

    @Override
    public int entries() {
      return 1 + crashes.size();
    }
  }

  /**
   * Identifiers of the newest records, used to detect repeated records.
   *
   * @param hashes 64-bit hashes of the identifiers, oldest first, 8 bytes each, as Base64
   */
  record RecentIdsPart(String hashes) implements SnapshotPart {

    @Override
    public int entries() {
      return 1 + hashes.length() / Snapshot.CHARACTERS_PER_ENTRY;
    }
  }

  /** Returns the size of this part, as a number of entries of about 300 bytes. */
  default int entries() {
    return 1;
  }
}
