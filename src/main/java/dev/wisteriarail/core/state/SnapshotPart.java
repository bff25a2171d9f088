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

/** A part of a ledger's snapshot. Each ledger has its own records here. */
public sealed interface SnapshotPart {

  /**
   * The configuration's revision.
   *
   * @param revision the revision in force
   * @param through offset up to which changes are decided; it may be past the other ledgers
   */
  record ConfigurationPart(Revision revision, long through) implements SnapshotPart {}

  /**
   * One accepted section.
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
   * @param fence the last fencing number, of a claim in force or released
   * @param claim the claim in force
   * @param lineNumber number of the last change of the line of succession under that claim
   * @param past replaced claims whose holders may still have orders under way
   * @param unabsorbed replaced claims whose holders may have decided without the log
   * @param reservations all reservations
   * @param closed closed replicas whose decisions may still repeat
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
   * A replica whose reservation was freed.
   *
   * @param replica the replica
   * @param offset the offset of the record that freed it
   */
  record ClosedReplica(ReplicaId replica, long offset) {}

  /**
   * Some of the used idempotency keys.
   *
   * @param changes the changes that lead to their state, in order
   * @param expired digests of keys that are too old to be kept, oldest first
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
   * Crashes of backend servers that are held against the contents they ran.
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
   * Identifiers of the newest records, for telling repeats.
   *
   * @param hashes 64-bit hashes of the identifiers, oldest first, 8 bytes each, as Base64
   */
  record RecentIdsPart(String hashes) implements SnapshotPart {

    @Override
    public int entries() {
      return 1 + hashes.length() / Snapshot.CHARACTERS_PER_ENTRY;
    }
  }

  /** Returns a measure of its size: the number of entries of some 300 bytes that it holds. */
  default int entries() {
    return 1;
  }
}
