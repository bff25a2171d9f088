package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.state.ReplicatedState;
import dev.wisteriarail.core.state.SnapshotPart;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The state of a cell: the result of applying its log records, overlaid with the outage records
 * that controllers sent to this node while they could not read back from the log.
 *
 * <p>Every reader of the log derives the same recorded state. An outage record counts until it is
 * read back from the log, or until a later controller records that it has absorbed its origin.
 *
 * <p>Life cycle: one per node and cell; records are applied in log order. Not thread-safe; owned by
 * the node's core.
 */
public final class CellState implements ReplicatedState {

  /**
   * Number of log records for which closed replicas are remembered. A repeated load decision for a
   * closed replica is not expected at a greater distance.
   */
  private static final long REPEAT_WINDOW = 100_000;

  private final CellId cell;
  private final Map<ReplicaId, Reservation> recordedReservations = new TreeMap<>();
  private final Map<ReplicaId, Reservation> effectiveReservations = new TreeMap<>();
  private final Map<FencingNumber, Claim> replacedClaims = new TreeMap<>();
  private final Map<FencingNumber, Claim> unabsorbedClaims = new TreeMap<>();
  private final Map<FencingNumber, Map<Long, OutageRecord>> outageRecords = new TreeMap<>();
  private final Map<ReplicaId, Long> closedReplicas = new TreeMap<>();
  private Optional<Claim> claim = Optional.empty();
  private FencingNumber fence = FencingNumber.NONE;
  private long lineNumber;

  private CellState(CellId cell) {
    this.cell = cell;
  }

  /** Returns the state of a cell without records. */
  public static CellState create(CellId cell) {
    return new CellState(cell);
  }

  // Log records

  /**
   * Applies one record.
   *
   * @return whether the record is valid; an invalid one changes nothing
   */
  public boolean apply(LogRecord logRecord) {
    boolean valid = applyBody(logRecord.body(), logRecord.offset());
    if (valid) {
      outageRecords
          .values()
          .forEach(
              records ->
                  records.values().removeIf(outageRecord -> hasSameId(outageRecord, logRecord)));
      pruneReplacedClaims();
      recomputeEffective();
    }
    return valid;
  }

  private boolean applyBody(RecordBody body, long offset) {
    return switch (body) {
      case RecordBody.ClaimRecorded claimed -> applyClaim(claimed, offset);
      case RecordBody.ClaimReleased released ->
          isCurrent(released.cell(), released.fence()) && applyReleased();
      case RecordBody.ClaimEnded ended -> ended.cell().equals(cell) && applyClaimEnded(ended);
      case RecordBody.SuccessionNamed named ->
          isCurrent(named.cell(), named.fence()) && applySuccession(named);
      case RecordBody.PredecessorAbsorbed absorbed ->
          isCurrent(absorbed.cell(), absorbed.fence())
              && unabsorbedClaims.remove(absorbed.predecessor()) != null;
      case RecordBody.LoadAdopted adopted ->
          isCurrent(adopted.cell(), adopted.fence())
              && addReservation(recordedReservations, adoptedReservation(adopted));
      case RecordBody.LoadDecided load ->
          isCurrent(load.cell(), load.fence()) && applyDecision(recordedReservations, load);
      case RecordBody.UnloadDecided unload ->
          isCurrent(unload.cell(), unload.fence()) && applyDecision(recordedReservations, unload);
      case RecordBody.LoadSettled settled ->
          isCurrent(settled.cell(), settled.fence())
              && applyDecision(recordedReservations, settled);
      case RecordBody.ReplicaClosed closed ->
          isCurrent(closed.cell(), closed.fence()) && applyReplicaClosed(closed, offset);
      default -> false;
    };
  }

  private boolean applyClaim(RecordBody.ClaimRecorded body, long offset) {
    if (!body.cell().equals(cell) || !body.previous().equals(fence)) {
      return false;
    }
    claim.ifPresent(
        replaced -> {
          replacedClaims.put(replaced.fence(), replaced);
          unabsorbedClaims.put(replaced.fence(), replaced);
        });
    fence = FencingNumber.of(offset);
    claim = Optional.of(new Claim(fence, body.holder(), body.incarnation(), body.line()));
    lineNumber = 0;
    closedReplicas.values().removeIf(closedAt -> closedAt < offset - REPEAT_WINDOW);
    return true;
  }

  private boolean applyReleased() {
    claim = Optional.empty();
    return true;
  }

  private boolean applyClaimEnded(RecordBody.ClaimEnded ended) {
    Claim replaced = replacedClaims.get(ended.ended());
    boolean heldByRun =
        replaced != null && replaced.isHeldBy(ended.holder().node(), ended.holder().incarnation());
    if (heldByRun) {
      replacedClaims.remove(ended.ended());
      unabsorbedClaims.remove(ended.ended());
    }
    return heldByRun;
  }

  private boolean applySuccession(RecordBody.SuccessionNamed named) {
    if (named.number() <= lineNumber) {
      return false;
    }
    lineNumber = named.number();
    claim = claim.map(current -> current.withLine(named.line()));
    return true;
  }

  private boolean applyReplicaClosed(RecordBody.ReplicaClosed closed, long offset) {
    boolean wasReserved = applyDecision(recordedReservations, closed);
    if (wasReserved) {
      closedReplicas.put(closed.replica(), offset);
    }
    return wasReserved;
  }

  /**
   * Removes absorbed claims under which no order can still take effect, and the outage records of
   * absorbed claims.
   */
  private void pruneReplacedClaims() {
    FencingNumber oldest =
        recordedReservations.values().stream()
            .filter(reservation -> !reservation.settled())
            .map(Reservation::fence)
            .min(FencingNumber::compareTo)
            .orElse(fence);
    replacedClaims
        .keySet()
        .removeIf(
            claimFence ->
                claimFence.compareTo(oldest) < 0 && !unabsorbedClaims.containsKey(claimFence));
    outageRecords
        .keySet()
        .removeIf(
            claimFence ->
                claimFence.compareTo(fence) < 0 && !unabsorbedClaims.containsKey(claimFence));
  }

  private boolean isCurrent(CellId recordCell, FencingNumber recordFence) {
    return recordCell.equals(cell) && claim.isPresent() && recordFence.equals(fence);
  }

  // Outage records

  /**
   * Adds a decision that a controller could not read back from the log.
   *
   * @param origin fencing number of the claim under which it was made
   */
  public void addOutageRecord(FencingNumber origin, OutageRecord decision) {
    outageRecords
        .computeIfAbsent(origin, id -> new TreeMap<>())
        .putIfAbsent(decision.number(), decision);
    recomputeEffective();
  }

  private void recomputeEffective() {
    effectiveReservations.clear();
    effectiveReservations.putAll(recordedReservations);
    outageRecords.forEach(
        (origin, decisions) -> {
          if (origin.equals(fence) || unabsorbedClaims.containsKey(origin)) {
            decisions
                .values()
                .forEach(decision -> applyDecision(effectiveReservations, decision.body()));
          }
        });
  }

  /**
   * Returns whether an incarnation held the given claim, and it is replaced but not absorbed yet.
   */
  boolean isUnabsorbed(FencingNumber origin, NodeId holder, Incarnation incarnation) {
    Claim earlier = unabsorbedClaims.get(origin);
    return earlier != null && earlier.isHeldBy(holder, incarnation);
  }

  /** Returns the outage records of a claim that were not read back from the log. */
  List<OutageRecord> outageRecords(FencingNumber origin) {
    return List.copyOf(outageRecords.getOrDefault(origin, Map.of()).values());
  }

  /** Returns the records with which a new controller adopts an earlier claim's outage records. */
  List<RecordBody> adoptions(FencingNumber origin) {
    List<RecordBody> missing = new ArrayList<>();
    for (OutageRecord decision : outageRecords.getOrDefault(origin, Map.of()).values()) {
      adoption(decision.body(), origin).ifPresent(missing::add);
    }
    return missing;
  }

  private Optional<RecordBody> adoption(RecordBody body, FencingNumber origin) {
    return switch (body) {
      case RecordBody.LoadDecided load ->
          Optional.<RecordBody>of(
                  new RecordBody.LoadAdopted(
                      cell,
                      fence,
                      origin,
                      load.replica(),
                      load.model(),
                      load.version(),
                      load.runner(),
                      load.bytes()))
              .filter(adopted -> effectiveReservations.containsKey(load.replica()))
              .filter(adopted -> !recordedReservations.containsKey(load.replica()));
      case RecordBody.UnloadDecided unload ->
          Optional.<RecordBody>of(new RecordBody.UnloadDecided(cell, fence, unload.replica()))
              .filter(decision -> effectiveReservations.containsKey(unload.replica()))
              .filter(decision -> isRecorded(unload.replica(), false));
      case RecordBody.ReplicaClosed closed ->
          Optional.<RecordBody>of(
                  new RecordBody.ReplicaClosed(cell, fence, closed.replica(), closed.reason()))
              .filter(decision -> recordedReservations.containsKey(closed.replica()));
      default -> Optional.empty();
    };
  }

  private boolean isRecorded(ReplicaId replica, boolean unloading) {
    Reservation reservation = recordedReservations.get(replica);
    return reservation != null && reservation.unloading() == unloading;
  }

  // Decisions

  private boolean applyDecision(Map<ReplicaId, Reservation> reservations, RecordBody body) {
    return switch (body) {
      case RecordBody.LoadDecided load -> addReservation(reservations, decidedReservation(load));
      case RecordBody.UnloadDecided unload ->
          reservations.computeIfPresent(
                  unload.replica(), (id, reservation) -> reservation.withUnloading())
              != null;
      case RecordBody.LoadSettled settled ->
          reservations.computeIfPresent(
                  settled.replica(), (id, reservation) -> reservation.withSettled())
              != null;
      case RecordBody.ReplicaClosed closed -> reservations.remove(closed.replica()) != null;
      default -> false;
    };
  }

  private boolean addReservation(
      Map<ReplicaId, Reservation> reservations, Reservation reservation) {
    return !closedReplicas.containsKey(reservation.replica())
        && reservations.putIfAbsent(reservation.replica(), reservation) == null;
  }

  private static Reservation decidedReservation(RecordBody.LoadDecided body) {
    return Reservation.of(
        body.replica(), body.model(), body.version(), body.runner(), body.bytes(), body.fence());
  }

  private static Reservation adoptedReservation(RecordBody.LoadAdopted body) {
    return Reservation.of(
        body.replica(), body.model(), body.version(), body.runner(), body.bytes(), body.origin());
  }

  private static boolean hasSameId(OutageRecord outageRecord, LogRecord logRecord) {
    return outageRecord.id().equals(logRecord.id());
  }

  // Snapshots

  @Override
  public List<SnapshotPart> snapshot() {
    List<SnapshotPart.ClosedReplica> closedParts =
        closedReplicas.entrySet().stream()
            .map(entry -> new SnapshotPart.ClosedReplica(entry.getKey(), entry.getValue()))
            .toList();
    return List.of(
        new SnapshotPart.CellPart(
            cell,
            fence,
            claim,
            lineNumber,
            List.copyOf(replacedClaims.values()),
            List.copyOf(unabsorbedClaims.keySet()),
            List.copyOf(recordedReservations.values()),
            closedParts));
  }

  @Override
  public void restore(List<SnapshotPart> parts, long through) {
    recordedReservations.clear();
    replacedClaims.clear();
    unabsorbedClaims.clear();
    closedReplicas.clear();
    claim = Optional.empty();
    fence = FencingNumber.NONE;
    lineNumber = 0;
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.CellPart cellPart && cellPart.cell().equals(cell)) {
        restore(cellPart);
      }
    }
    recomputeEffective();
  }

  private void restore(SnapshotPart.CellPart cellPart) {
    fence = cellPart.fence();
    claim = cellPart.claim();
    lineNumber = cellPart.lineNumber();
    cellPart.past().forEach(replaced -> replacedClaims.put(replaced.fence(), replaced));
    cellPart
        .unabsorbed()
        .forEach(replaced -> unabsorbedClaims.put(replaced, replacedClaims.get(replaced)));
    cellPart
        .reservations()
        .forEach(reservation -> recordedReservations.put(reservation.replica(), reservation));
    cellPart.closed().forEach(closed -> closedReplicas.put(closed.replica(), closed.offset()));
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

  /** Returns the number of the last change of the succession line. */
  long lineNumber() {
    return lineNumber;
  }

  /**
   * Returns the replaced claims with at least the given fencing number: their holders may have sent
   * orders for a reservation that was made under that number.
   */
  public List<Claim> replacedClaimsSince(FencingNumber oldest) {
    return replacedClaims.values().stream()
        .filter(replaced -> replaced.fence().compareTo(oldest) >= 0)
        .toList();
  }

  /** Returns the replaced claims of one incarnation of a node. */
  List<Claim> replacedClaimsOf(NodeId holder, Incarnation incarnation) {
    return replacedClaims.values().stream()
        .filter(replaced -> replaced.isHeldBy(holder, incarnation))
        .toList();
  }

  /** Returns the replaced claims whose outage decisions are not absorbed yet. */
  List<Claim> unabsorbedClaims() {
    return List.copyOf(unabsorbedClaims.values());
  }

  /** Returns all reservations, including those of outage records, in order of their replicas. */
  public Collection<Reservation> reservations() {
    return Collections.unmodifiableCollection(effectiveReservations.values());
  }

  /** Returns the reservation of a replica. */
  public Optional<Reservation> reservation(ReplicaId replica) {
    return Optional.ofNullable(effectiveReservations.get(replica));
  }
}
