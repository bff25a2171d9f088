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

  /** Number of records after which a repeat of a closed replica's decision is not expected. */
  private static final long REPEAT_WINDOW = 100_000;

  private final CellId cell;
  private final Map<ReplicaId, Reservation> reservations = new TreeMap<>();
  private final Map<FencingNumber, Claim> past = new TreeMap<>();
  private final Map<ReplicaId, Long> closed = new TreeMap<>();
  private Optional<Claim> claim = Optional.empty();
  private FencingNumber fence = FencingNumber.NONE;

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
      case RecordBody.ClaimReleased body -> isCurrent(body.cell(), body.fence()) && release();
      case RecordBody.LoadDecided body -> isCurrent(body.cell(), body.fence()) && applyLoad(body);
      case RecordBody.UnloadDecided body ->
          isCurrent(body.cell(), body.fence()) && applyUnload(body.replica());
      case RecordBody.LoadSettled body ->
          isCurrent(body.cell(), body.fence()) && applySettled(body.replica());
      case RecordBody.ReplicaClosed body ->
          isCurrent(body.cell(), body.fence()) && applyClosed(body.replica(), logged.offset());
      default -> false;
    };
  }

  private boolean applyClaim(RecordBody.ClaimRecorded body, long offset) {
    if (!body.cell().equals(cell) || !body.previous().equals(fence)) {
      return false;
    }
    claim.ifPresent(replaced -> past.put(replaced.fence(), replaced));
    fence = FencingNumber.of(offset);
    claim = Optional.of(new Claim(fence, body.holder(), body.incarnation(), body.line()));
    closed.values().removeIf(at -> at < offset - REPEAT_WINDOW);
    forgetPast();
    return true;
  }

  private boolean release() {
    claim = Optional.empty();
    return true;
  }

  private boolean applyLoad(RecordBody.LoadDecided body) {
    if (closed.containsKey(body.replica())) {
      return false;
    }
    Reservation reservation =
        new Reservation(
            body.replica(),
            body.model(),
            body.version(),
            body.runner(),
            body.bytes(),
            body.fence(),
            false,
            false);
    return reservations.putIfAbsent(body.replica(), reservation) == null;
  }

  private boolean applyUnload(ReplicaId replica) {
    return reservations.computeIfPresent(replica, (id, held) -> held.withUnloading()) != null;
  }

  private boolean applySettled(ReplicaId replica) {
    boolean known =
        reservations.computeIfPresent(replica, (id, held) -> held.withSettled()) != null;
    forgetPast();
    return known;
  }

  private boolean applyClosed(ReplicaId replica, long offset) {
    boolean known = reservations.remove(replica) != null;
    if (known) {
      closed.put(replica, offset);
    }
    forgetPast();
    return known;
  }

  /** Forgets claims from before the oldest decision that they may still send an order for. */
  private void forgetPast() {
    FencingNumber oldest =
        reservations.values().stream()
            .filter(held -> !held.settled())
            .map(Reservation::fence)
            .min(FencingNumber::compareTo)
            .orElse(fence);
    past.keySet().removeIf(old -> old.compareTo(oldest) < 0);
  }

  private boolean isCurrent(CellId recordCell, FencingNumber recordFence) {
    return recordCell.equals(cell) && claim.isPresent() && recordFence.equals(fence);
  }

  // Snapshots

  @Override
  public List<LedgerSnapshot> snapshot() {
    List<LedgerSnapshot.ClosedReplica> closedReplicas =
        closed.entrySet().stream()
            .map(entry -> new LedgerSnapshot.ClosedReplica(entry.getKey(), entry.getValue()))
            .toList();
    return List.of(
        new LedgerSnapshot.CellPart(
            cell,
            fence,
            claim,
            List.copyOf(past.values()),
            List.copyOf(reservations.values()),
            closedReplicas));
  }

  @Override
  public void restore(List<LedgerSnapshot> parts, long through) {
    reservations.clear();
    past.clear();
    closed.clear();
    claim = Optional.empty();
    fence = FencingNumber.NONE;
    for (LedgerSnapshot part : parts) {
      if (part instanceof LedgerSnapshot.CellPart state && state.cell().equals(cell)) {
        restore(state);
      }
    }
  }

  private void restore(LedgerSnapshot.CellPart state) {
    fence = state.fence();
    claim = state.claim();
    state.past().forEach(old -> past.put(old.fence(), old));
    state.reservations().forEach(held -> reservations.put(held.replica(), held));
    state.closed().forEach(gone -> closed.put(gone.replica(), gone.offset()));
  }

  // Accessors

  /** Returns the claim in force; empty before the first one and after a release. */
  public Optional<Claim> claim() {
    return claim;
  }

  /** Returns the fencing number of the last claim, released or not. */
  public FencingNumber fence() {
    return fence;
  }

  /** Returns the replaced claims whose holders may have sent orders from a fencing number on. */
  public List<Claim> pastSince(FencingNumber from) {
    return past.values().stream().filter(old -> old.fence().compareTo(from) >= 0).toList();
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
