package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.state.Ledger;
import dev.wisteriarail.core.state.LedgerSnapshot;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of a cell that its log records add up to. Every reader comes to the same state.
 *
 * <p>Life cycle: one per node and cell, fed in log order. Not thread-safe; owned by the node's
 * core.
 */
public final class CellLedger implements Ledger {

  private final CellId cell;
  private final Map<ReplicaId, Reservation> reservations = new TreeMap<>();
  private Optional<Claim> claim = Optional.empty();

  private CellLedger(CellId cell) {
    this.cell = cell;
  }

  /** Returns the ledger of a cell without records. */
  public static CellLedger create(CellId cell) {
    return new CellLedger(cell);
  }

  // Updates

  /**
   * Applies one record.
   *
   * @return whether the record is valid; a void one changes nothing
   */
  public boolean apply(LogRecord logged) {
    return switch (logged.body()) {
      case RecordBody.ClaimRecorded body -> applyClaim(body, logged.offset());
      case RecordBody.LoadDecided body -> isCurrent(body.cell(), body.fence()) && applyLoad(body);
      case RecordBody.UnloadDecided body ->
          isCurrent(body.cell(), body.fence()) && applyUnload(body.replica());
      case RecordBody.ReplicaClosed body ->
          isCurrent(body.cell(), body.fence()) && reservations.remove(body.replica()) != null;
      default -> false;
    };
  }

  private boolean applyClaim(RecordBody.ClaimRecorded body, long offset) {
    if (!body.cell().equals(cell) || !body.previous().equals(fence())) {
      return false;
    }
    claim = Optional.of(new Claim(FencingNumber.of(offset), body.holder(), body.incarnation()));
    return true;
  }

  private boolean applyLoad(RecordBody.LoadDecided body) {
    Reservation reservation =
        new Reservation(
            body.replica(),
            body.model(),
            body.version(),
            body.runner(),
            body.bytes(),
            body.fence(),
            false);
    return reservations.putIfAbsent(body.replica(), reservation) == null;
  }

  private boolean applyUnload(ReplicaId replica) {
    return reservations.computeIfPresent(replica, (id, held) -> held.withUnloading()) != null;
  }

  private boolean isCurrent(CellId recordCell, FencingNumber fence) {
    return recordCell.equals(cell) && claim.isPresent() && fence.equals(fence());
  }

  // Snapshots

  @Override
  public List<LedgerSnapshot> snapshot() {
    return List.of(new LedgerSnapshot.CellPart(cell, claim, List.copyOf(reservations.values())));
  }

  @Override
  public void restore(List<LedgerSnapshot> parts, long through) {
    reservations.clear();
    claim = Optional.empty();
    for (LedgerSnapshot part : parts) {
      if (part instanceof LedgerSnapshot.CellPart state && state.cell().equals(cell)) {
        claim = state.claim();
        state.reservations().forEach(held -> reservations.put(held.replica(), held));
      }
    }
  }

  // Accessors

  /** Returns the claim in force. */
  public Optional<Claim> claim() {
    return claim;
  }

  /** Returns the fencing number in force. */
  public FencingNumber fence() {
    return claim.map(Claim::fence).orElse(FencingNumber.NONE);
  }

  /** Returns all reservations in order of their replicas. */
  public Collection<Reservation> reservations() {
    return Collections.unmodifiableCollection(reservations.values());
  }

  /** Returns the reservation of a replica. */
  public Optional<Reservation> reservation(ReplicaId replica) {
    return Optional.ofNullable(reservations.get(replica));
  }
}
