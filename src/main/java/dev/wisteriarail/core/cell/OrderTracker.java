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
 * The orders that this node has sent to engines, and what is known of their outcomes.
 *
 * <p>The book outlives a claim: an order sent under an earlier claim of this run still counts.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the node's core.
 */
final class OrderTracker {

  /** An order without an answer. */
  record SentOrder(RunnerId runner, Optional<ReplicaId> replica, EngineOrder body, Instant sentAt) {

    boolean isLoad() {
      return body instanceof EngineOrder.LoadReplica;
    }

    boolean isAdapterLoad() {
      return body instanceof EngineOrder.LoadAdapter;
    }
  }

  /** What became of the orders for one replica. Mutable. */
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

  /** Sends an order. */
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

  /** Takes an answer; returns the order it belongs to, once. */
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

  /** Takes orders without an answer for too long as unknown; returns them. */
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

  /** Forgets replicas that fail the test and have no order under way. */
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

  /** Returns whether an order may be sent for a replica now, by the time between two of them. */
  boolean maySend(ReplicaId replica, Instant now) {
    return !hasOutstanding(replica) && !now.isBefore(ordersFor(replica).nextOrderAt);
  }

  /**
   * Returns whether an adapter may be ordered for a replica now, by the time between two orders.
   */
  boolean maySendAdapterLoad(ReplicaId replica, AdapterId adapter, Instant now) {
    Instant nextOrderAt = ordersFor(replica).nextAdapterOrderAt.getOrDefault(adapter, Instant.MIN);
    return !now.isBefore(nextOrderAt);
  }

  /** Returns the number of orders to load an adapter that have no answer yet. */
  long outstandingAdapterLoads() {
    return outstanding.values().stream().filter(SentOrder::isAdapterLoad).count();
  }

  /**
   * Returns whether this run has sent an order to load the replica that the engine did not fence.
   */
  boolean wasLoadSent(ReplicaId replica) {
    return ordersFor(replica).loadSent;
  }

  /** Returns whether an engine said that it carries the load out. */
  boolean wasLoadConfirmed(ReplicaId replica) {
    return ordersFor(replica).loadConfirmed;
  }

  /** Returns whether an engine said that it unloads the replica. */
  boolean wasUnloadConfirmed(ReplicaId replica) {
    return ordersFor(replica).unloadConfirmed;
  }

  /** Returns whether engines refused all loads of the replica that this run ordered. */
  boolean wasLoadRefused(ReplicaId replica, Instant now) {
    ReplicaOrders replicaOrders = ordersFor(replica);
    return replicaOrders.loadFailed && !replicaOrders.loadConfirmed && isLoadSettled(replica, now);
  }

  /** Returns whether no order of this run to load the replica can still take effect. */
  boolean isLoadSettled(ReplicaId replica, Instant now) {
    return !hasOutstandingLoad(replica) && !now.isBefore(ordersFor(replica).unsettledUntil);
  }

  /** Returns when the last order to load the replica was answered or stopped to be possible. */
  Instant loadSettledSince(ReplicaId replica) {
    ReplicaOrders replicaOrders = ordersFor(replica);
    return replicaOrders.unsettledUntil.isAfter(replicaOrders.lastLoadOutcomeAt)
        ? replicaOrders.unsettledUntil
        : replicaOrders.lastLoadOutcomeAt;
  }

  /** Returns whether any order to load has an open or unknown outcome. */
  boolean hasUnresolvedOrders(Instant now) {
    return !outstanding.isEmpty()
        || byReplica.values().stream()
            .anyMatch(replicaOrders -> now.isBefore(replicaOrders.unsettledUntil));
  }

  private ReplicaOrders ordersFor(ReplicaId replica) {
    return byReplica.computeIfAbsent(replica, id -> new ReplicaOrders());
  }
}
