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
 * The state of a cell that its log records add up to, with the decisions on top that its controller
 * made while the log was down and told this node.
 *
 * <p>Every reader comes to the same recorded state. Told decisions count until they are read back,
 * or until a later controller states that it has taken them over.
 *
 * <p>Life cycle: one per node and cell, fed in log order. Not thread-safe; owned by the node's
 * core.
 */
public final class CellLedger implements ReplicatedState {

  /** Number of records after which a repeat of a closed replica's decision is not expected. */
  private static final long REPEAT_WINDOW = 100_000;

  private final CellId cell;
  private final Map<ReplicaId, Reservation> recorded = new TreeMap<>();
  private final Map<ReplicaId, Reservation> counted = new TreeMap<>();
  private final Map<FencingNumber, Claim> past = new TreeMap<>();
  private final Map<FencingNumber, Claim> unabsorbed = new TreeMap<>();
  private final Map<FencingNumber, Map<Long, OutageRecord>> told = new TreeMap<>();
  private final Map<ReplicaId, Long> closed = new TreeMap<>();
  private Optional<Claim> claim = Optional.empty();
  private FencingNumber fence = FencingNumber.NONE;
  private long lineNumber;

  private CellLedger(CellId cell) {
    this.cell = cell;
  }

  /** Returns the ledger of a cell without records. */
  public static CellLedger create(CellId cell) {
    return new CellLedger(cell);
  }

  // Log records

  /**
   * Applies one record.
   *
   * @return whether the record is valid; a void one changes nothing
   */
  public boolean apply(LogRecord logged) {
    boolean valid = applyBody(logged.body(), logged.offset());
    if (valid) {
      told.values().forEach(records -> records.values().removeIf(one -> isSame(one, logged)));
      forgetPast();
      recount();
    }
    return valid;
  }

  private boolean applyBody(RecordBody body, long offset) {
    return switch (body) {
      case RecordBody.ClaimRecorded claimed -> applyClaim(claimed, offset);
      case RecordBody.ClaimReleased released ->
          isCurrent(released.cell(), released.fence()) && release();
      case RecordBody.ClaimEnded ended -> ended.cell().equals(cell) && applyEnded(ended);
      case RecordBody.SuccessionNamed named ->
          isCurrent(named.cell(), named.fence()) && applyLine(named);
      case RecordBody.PredecessorAbsorbed absorbed ->
          isCurrent(absorbed.cell(), absorbed.fence())
              && unabsorbed.remove(absorbed.predecessor()) != null;
      case RecordBody.LoadAdopted adopted ->
          isCurrent(adopted.cell(), adopted.fence()) && load(recorded, adoptedReservation(adopted));
      case RecordBody.LoadDecided load ->
          isCurrent(load.cell(), load.fence()) && applyDecision(recorded, load);
      case RecordBody.UnloadDecided unload ->
          isCurrent(unload.cell(), unload.fence()) && applyDecision(recorded, unload);
      case RecordBody.LoadSettled settled ->
          isCurrent(settled.cell(), settled.fence()) && applyDecision(recorded, settled);
      case RecordBody.ReplicaClosed gone ->
          isCurrent(gone.cell(), gone.fence()) && applyClosed(gone, offset);
      default -> false;
    };
  }

  private boolean applyClaim(RecordBody.ClaimRecorded body, long offset) {
    if (!body.cell().equals(cell) || !body.previous().equals(fence)) {
      return false;
    }
    claim.ifPresent(
        replaced -> {
          past.put(replaced.fence(), replaced);
          unabsorbed.put(replaced.fence(), replaced);
        });
    fence = FencingNumber.of(offset);
    claim = Optional.of(new Claim(fence, body.holder(), body.incarnation(), body.line()));
    lineNumber = 0;
    closed.values().removeIf(at -> at < offset - REPEAT_WINDOW);
    return true;
  }

  private boolean release() {
    claim = Optional.empty();
    return true;
  }

  private boolean applyEnded(RecordBody.ClaimEnded ended) {
    Claim old = past.get(ended.ended());
    boolean own = old != null && old.isHeldBy(ended.holder().node(), ended.holder().incarnation());
    if (own) {
      past.remove(ended.ended());
      unabsorbed.remove(ended.ended());
    }
    return own;
  }

  private boolean applyLine(RecordBody.SuccessionNamed named) {
    if (named.number() <= lineNumber) {
      return false;
    }
    lineNumber = named.number();
    claim = claim.map(held -> held.withLine(named.line()));
    return true;
  }

  private boolean applyClosed(RecordBody.ReplicaClosed gone, long offset) {
    boolean known = applyDecision(recorded, gone);
    if (known) {
      closed.put(gone.replica(), offset);
    }
    return known;
  }

  /** Forgets claims that no order and no told decision can come from any more. */
  private void forgetPast() {
    FencingNumber oldest =
        recorded.values().stream()
            .filter(held -> !held.settled())
            .map(Reservation::fence)
            .min(FencingNumber::compareTo)
            .orElse(fence);
    past.keySet().removeIf(old -> old.compareTo(oldest) < 0 && !unabsorbed.containsKey(old));
    told.keySet().removeIf(old -> old.compareTo(fence) < 0 && !unabsorbed.containsKey(old));
  }

  private boolean isCurrent(CellId recordCell, FencingNumber recordFence) {
    return recordCell.equals(cell) && claim.isPresent() && recordFence.equals(fence);
  }

  // Told decisions

  /** Counts a decision that a controller could not read back from the log. */
  public void keep(FencingNumber from, OutageRecord decision) {
    told.computeIfAbsent(from, id -> new TreeMap<>()).putIfAbsent(decision.number(), decision);
    recount();
  }

  private void recount() {
    counted.clear();
    counted.putAll(recorded);
    told.forEach(
        (from, decisions) -> {
          if (from.equals(fence) || unabsorbed.containsKey(from)) {
            decisions.values().forEach(decision -> applyDecision(counted, decision.body()));
          }
        });
  }

  /** Returns whether a decision may be told by an earlier controller that was replaced. */
  boolean isUnabsorbed(FencingNumber from, NodeId holder, Incarnation incarnation) {
    Claim earlier = unabsorbed.get(from);
    return earlier != null && earlier.isHeldBy(holder, incarnation);
  }

  /** Returns the told decisions of a controller. */
  List<OutageRecord> told(FencingNumber from) {
    return List.copyOf(told.getOrDefault(from, Map.of()).values());
  }

  /** Returns what a new controller has to record of an earlier one's told decisions. */
  List<RecordBody> adoptions(FencingNumber from) {
    List<RecordBody> missing = new ArrayList<>();
    for (OutageRecord decision : told.getOrDefault(from, Map.of()).values()) {
      adoption(decision.body(), from).ifPresent(missing::add);
    }
    return missing;
  }

  private Optional<RecordBody> adoption(RecordBody body, FencingNumber from) {
    return switch (body) {
      case RecordBody.LoadDecided load ->
          Optional.<RecordBody>of(
                  new RecordBody.LoadAdopted(
                      cell,
                      fence,
                      from,
                      load.replica(),
                      load.model(),
                      load.version(),
                      load.runner(),
                      load.bytes()))
              .filter(adopted -> counted.containsKey(load.replica()))
              .filter(adopted -> !recorded.containsKey(load.replica()));
      case RecordBody.UnloadDecided unload ->
          Optional.<RecordBody>of(new RecordBody.UnloadDecided(cell, fence, unload.replica()))
              .filter(again -> counted.containsKey(unload.replica()))
              .filter(again -> recordedAs(unload.replica(), false));
      case RecordBody.ReplicaClosed gone ->
          Optional.<RecordBody>of(
                  new RecordBody.ReplicaClosed(cell, fence, gone.replica(), gone.reason()))
              .filter(again -> recorded.containsKey(gone.replica()));
      default -> Optional.empty();
    };
  }

  private boolean recordedAs(ReplicaId replica, boolean unloading) {
    Reservation held = recorded.get(replica);
    return held != null && held.unloading() == unloading;
  }

  // Decisions

  private boolean applyDecision(Map<ReplicaId, Reservation> held, RecordBody body) {
    return switch (body) {
      case RecordBody.LoadDecided load -> load(held, decidedReservation(load));
      case RecordBody.UnloadDecided unload ->
          held.computeIfPresent(unload.replica(), (id, one) -> one.withUnloading()) != null;
      case RecordBody.LoadSettled settled ->
          held.computeIfPresent(settled.replica(), (id, one) -> one.withSettled()) != null;
      case RecordBody.ReplicaClosed gone -> held.remove(gone.replica()) != null;
      default -> false;
    };
  }

  private boolean load(Map<ReplicaId, Reservation> held, Reservation reservation) {
    return !closed.containsKey(reservation.replica())
        && held.putIfAbsent(reservation.replica(), reservation) == null;
  }

  private static Reservation decidedReservation(RecordBody.LoadDecided body) {
    return Reservation.of(
        body.replica(), body.model(), body.version(), body.runner(), body.bytes(), body.fence());
  }

  private static Reservation adoptedReservation(RecordBody.LoadAdopted body) {
    return Reservation.of(
        body.replica(), body.model(), body.version(), body.runner(), body.bytes(), body.origin());
  }

  private static boolean isSame(OutageRecord one, LogRecord logged) {
    return one.id().equals(logged.id());
  }

  // Snapshots

  @Override
  public List<SnapshotPart> snapshot() {
    List<SnapshotPart.ClosedReplica> gone =
        closed.entrySet().stream()
            .map(entry -> new SnapshotPart.ClosedReplica(entry.getKey(), entry.getValue()))
            .toList();
    return List.of(
        new SnapshotPart.CellPart(
            cell,
            fence,
            claim,
            lineNumber,
            List.copyOf(past.values()),
            List.copyOf(unabsorbed.keySet()),
            List.copyOf(recorded.values()),
            gone));
  }

  @Override
  public void restore(List<SnapshotPart> parts, long through) {
    recorded.clear();
    past.clear();
    unabsorbed.clear();
    closed.clear();
    claim = Optional.empty();
    fence = FencingNumber.NONE;
    lineNumber = 0;
    for (SnapshotPart part : parts) {
      if (part instanceof SnapshotPart.CellPart state && state.cell().equals(cell)) {
        restore(state);
      }
    }
    recount();
  }

  private void restore(SnapshotPart.CellPart state) {
    fence = state.fence();
    claim = state.claim();
    lineNumber = state.lineNumber();
    state.past().forEach(old -> past.put(old.fence(), old));
    state.unabsorbed().forEach(old -> unabsorbed.put(old, past.get(old)));
    state.reservations().forEach(held -> recorded.put(held.replica(), held));
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

  /** Returns the number of the last change of the line of succession. */
  long lineNumber() {
    return lineNumber;
  }

  /** Returns the replaced claims whose holders may have sent orders from a fencing number on. */
  public List<Claim> pastSince(FencingNumber from) {
    return past.values().stream().filter(old -> old.fence().compareTo(from) >= 0).toList();
  }

  /** Returns the replaced claims of one run. */
  List<Claim> pastOf(NodeId holder, Incarnation incarnation) {
    return past.values().stream().filter(old -> old.isHeldBy(holder, incarnation)).toList();
  }

  /** Returns the replaced claims whose holders may have decided without the log. */
  List<Claim> unabsorbed() {
    return List.copyOf(unabsorbed.values());
  }

  /** Returns all reservations that count, in order of their replicas. */
  public Collection<Reservation> reservations() {
    return Collections.unmodifiableCollection(counted.values());
  }

  /** Returns the reservation of a replica. */
  public Optional<Reservation> reservation(ReplicaId replica) {
    return Optional.ofNullable(counted.get(replica));
  }
}
