package dev.wisteriarail.core.cell;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Tracks the orders that this node has sent to engines, and their outcomes as far as known.
 *
 * <p>The orders are kept beyond the claim under which they were sent, since an order sent under an
 * earlier claim of this incarnation may still take effect.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class OrderTracker {

  /** An order as it was sent to an engine. */
  record SentOrder(RunnerId runner, Optional<ReplicaId> replica, EngineOrder body, Instant sentAt) {

    boolean isLoad() {
      return body instanceof EngineOrder.LoadReplica;
    }

    boolean isAdapterLoad() {
      return body instanceof EngineOrder.LoadAdapter;
    }
  }

  /**
   * The outcomes of the orders for one replica. Mutable.
   *
   * <p>Until {@code unsettledUntil}, an order to load the replica whose outcome is unknown may
   * still take effect.
   */
  private static final class ReplicaOrders {
    private boolean loadSent;
    private boolean loadConfirmed;
    private boolean loadFailed;
    private boolean unloadConfirmed;
    private Instant lastLoadOutcomeAt = Instant.MIN;
    private Instant unsettledUntil = Instant.MIN;
    private Instant nextOrderAt = Instant.MIN;
    private final Map<AdapterId, Instant> nextAdapterOrderAt = new TreeMap<>();
  }

  private final NodeSettings settings;
  private final CellTimings timings;
  private final Map<OrderId, SentOrder> outstanding = new TreeMap<>();
  private final Map<ReplicaId, ReplicaOrders> byReplica = new TreeMap<>();
  private long sequence;

  private OrderTracker(NodeSettings settings) {
    this.settings = settings;
    timings = settings.timings().cells();
  }

  static OrderTracker create(NodeSettings settings) {
    return new OrderTracker(settings);
  }

  // Updates

  /** Sends an order to an engine and tracks it. */
  void send(
      RunnerId runner,
      Optional<ReplicaId> replica,
      EngineOrder body,
      FencingNumber fence,
      Step step) {
    sequence++;
    OrderId order = OrderId.of(settings.node() + "." + settings.incarnation() + ".o" + sequence);
    SentOrder sent = new SentOrder(runner, replica, body, step.now());
    outstanding.put(order, sent);
    replica.ifPresent(
        id -> {
          ReplicaOrders replicaOrders = ordersFor(id);
          Instant nextOrderAt = step.now().plus(timings.orderRetry());
          if (body instanceof EngineOrder.LoadAdapter load) {
            replicaOrders.nextAdapterOrderAt.put(load.adapter(), nextOrderAt);
          } else {
            replicaOrders.nextOrderAt = nextOrderAt;
          }
          replicaOrders.loadSent |= sent.isLoad();
        });
    step.emit(new Effect.OrderEngine(order, runner, fence, body));
  }

  /** Processes the outcome of an order; returns the order, or empty if it is not outstanding. */
  Optional<SentOrder> acceptOutcome(OrderId order, OrderOutcome outcome, Instant now) {
    SentOrder sent = outstanding.remove(order);
    if (sent == null) {
      return Optional.empty();
    }
    sent.replica().ifPresent(id -> updateReplica(id, sent, outcome, now));
    return Optional.of(sent);
  }

  private void updateReplica(ReplicaId replica, SentOrder sent, OrderOutcome outcome, Instant now) {
    if (sent.isLoad()) {
      updateLoad(replica, sent, outcome, now);
    } else if (sent.body() instanceof EngineOrder.UnloadReplica) {
      ordersFor(replica).unloadConfirmed |= outcome instanceof OrderOutcome.Done;
    }
  }

  private void updateLoad(ReplicaId replica, SentOrder sent, OrderOutcome outcome, Instant now) {
    ReplicaOrders replicaOrders = ordersFor(replica);
    replicaOrders.lastLoadOutcomeAt = now;
    switch (outcome) {
      case OrderOutcome.Done done -> replicaOrders.loadConfirmed = true;
      case OrderOutcome.Failed failed -> replicaOrders.loadFailed = true;
      case OrderOutcome.Fenced fenced -> replicaOrders.loadSent = replicaOrders.loadConfirmed;
      case OrderOutcome.Unknown unknown -> extendUnsettled(replicaOrders, sent.sentAt());
    }
  }

  private void extendUnsettled(ReplicaOrders replicaOrders, Instant sentAt) {
    Instant until = sentAt.plus(timings.orderTransit());
    if (until.isAfter(replicaOrders.unsettledUntil)) {
      replicaOrders.unsettledUntil = until;
    }
  }

  /** Removes and returns the orders that timed out; the outcome of loads counts as unknown. */
  List<SentOrder> expire(Instant now) {
    List<SentOrder> expired = new ArrayList<>();
    outstanding
        .values()
        .removeIf(
            sent -> {
              boolean timedOut = !now.isBefore(sent.sentAt().plus(timings.orderTimeout()));
              if (timedOut) {
                expired.add(sent);
              }
              return timedOut;
            });
    for (SentOrder sent : expired) {
      sent.replica()
          .filter(id -> sent.isLoad())
          .ifPresent(id -> updateLoad(id, sent, new OrderOutcome.Unknown("no answer"), now));
    }
    return expired;
  }

  /** Removes replicas that do not match and have no outstanding order. */
  void retainReplicas(Predicate<ReplicaId> wanted) {
    byReplica.keySet().removeIf(id -> !wanted.test(id) && !hasOutstanding(id));
  }

  // Accessors

  boolean hasOutstanding(ReplicaId replica) {
    return outstanding.values().stream()
        .anyMatch(sent -> sent.replica().filter(replica::equals).isPresent());
  }

  boolean hasOutstandingLoad(ReplicaId replica) {
    return outstanding.values().stream()
        .anyMatch(sent -> sent.isLoad() && sent.replica().filter(replica::equals).isPresent());
  }

  /** Returns whether a replica has no outstanding order and its retry interval has elapsed. */
  boolean maySend(ReplicaId replica, Instant now) {
    return !hasOutstanding(replica) && !now.isBefore(ordersFor(replica).nextOrderAt);
  }

  /** Returns whether the retry interval has elapsed for loading an adapter on a replica. */
  boolean maySendAdapterLoad(ReplicaId replica, AdapterId adapter, Instant now) {
    Instant nextOrderAt = ordersFor(replica).nextAdapterOrderAt.getOrDefault(adapter, Instant.MIN);
    return !now.isBefore(nextOrderAt);
  }

  /** Returns the number of outstanding orders to load an adapter. */
  long outstandingAdapterLoads() {
    return outstanding.values().stream().filter(SentOrder::isAdapterLoad).count();
  }

  /**
   * Returns whether this incarnation has sent an order to load the replica that the engine did not
   * reject because of its fencing number.
   */
  boolean wasLoadSent(ReplicaId replica) {
    return ordersFor(replica).loadSent;
  }

  /** Returns whether an engine confirmed an order to load the replica. */
  boolean wasLoadConfirmed(ReplicaId replica) {
    return ordersFor(replica).loadConfirmed;
  }

  /** Returns whether an engine confirmed an order to unload the replica. */
  boolean wasUnloadConfirmed(ReplicaId replica) {
    return ordersFor(replica).unloadConfirmed;
  }

  /** Returns whether engines refused all loads of the replica that this incarnation ordered. */
  boolean wasLoadRefused(ReplicaId replica, Instant now) {
    ReplicaOrders replicaOrders = ordersFor(replica);
    return replicaOrders.loadFailed && !replicaOrders.loadConfirmed && isLoadSettled(replica, now);
  }

  /** Returns whether no order of this incarnation to load the replica can still take effect. */
  boolean isLoadSettled(ReplicaId replica, Instant now) {
    return !hasOutstandingLoad(replica) && !now.isBefore(ordersFor(replica).unsettledUntil);
  }

  /** Returns when the last load order was answered or could no longer take effect. */
  Instant loadSettledSince(ReplicaId replica) {
    ReplicaOrders replicaOrders = ordersFor(replica);
    return replicaOrders.unsettledUntil.isAfter(replicaOrders.lastLoadOutcomeAt)
        ? replicaOrders.unsettledUntil
        : replicaOrders.lastLoadOutcomeAt;
  }

  /** Returns whether any order is outstanding, or any load may still take effect. */
  boolean hasUnresolvedOrders(Instant now) {
    return !outstanding.isEmpty()
        || byReplica.values().stream()
            .anyMatch(replicaOrders -> now.isBefore(replicaOrders.unsettledUntil));
  }

  private ReplicaOrders ordersFor(ReplicaId replica) {
    return byReplica.computeIfAbsent(replica, id -> new ReplicaOrders());
  }
}
