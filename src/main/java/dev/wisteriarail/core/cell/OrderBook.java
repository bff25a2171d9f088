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
final class OrderBook {

  /** An order without an answer. */
  record Sent(RunnerId runner, Optional<ReplicaId> replica, EngineOrder body, Instant at) {

    boolean isLoad() {
      return body instanceof EngineOrder.LoadReplica;
    }

    boolean isAdapter() {
      return body instanceof EngineOrder.LoadAdapter;
    }
  }

  /** What became of the orders for one replica. Mutable. */
  private static final class Track {
    private boolean loadSent;
    private boolean loadDone;
    private boolean loadFailed;
    private boolean unloadDone;
    private Instant lastLoadAnswer = Instant.MIN;
    private Instant uncertainUntil = Instant.MIN;
    private Instant nextTry = Instant.MIN;
    private final Map<AdapterId, Instant> nextAdapterTries = new TreeMap<>();
  }

  private final NodeSettings settings;
  private final CellTimings bounds;
  private final Map<OrderId, Sent> outstanding = new TreeMap<>();
  private final Map<ReplicaId, Track> tracks = new TreeMap<>();
  private long sequence;

  private OrderBook(NodeSettings settings) {
    this.settings = settings;
    bounds = settings.timings().cells();
  }

  static OrderBook create(NodeSettings settings) {
    return new OrderBook(settings);
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
    Sent sent = new Sent(runner, replica, body, step.now());
    outstanding.put(order, sent);
    replica.ifPresent(
        id -> {
          Track track = track(id);
          Instant nextTry = step.now().plus(bounds.orderRetry());
          if (body instanceof EngineOrder.LoadAdapter load) {
            track.nextAdapterTries.put(load.adapter(), nextTry);
          } else {
            track.nextTry = nextTry;
          }
          track.loadSent |= sent.isLoad();
        });
    step.emit(new Effect.OrderEngine(order, runner, fence, body));
  }

  /** Takes an answer; returns the order it belongs to, once. */
  Optional<Sent> accept(OrderId order, OrderOutcome outcome, Instant now) {
    Sent sent = outstanding.remove(order);
    if (sent == null) {
      return Optional.empty();
    }
    sent.replica().ifPresent(id -> acceptReplica(id, sent, outcome, now));
    return Optional.of(sent);
  }

  private void acceptReplica(ReplicaId replica, Sent sent, OrderOutcome outcome, Instant now) {
    if (sent.isLoad()) {
      acceptLoad(replica, sent, outcome, now);
    } else if (sent.body() instanceof EngineOrder.UnloadReplica) {
      track(replica).unloadDone |= outcome instanceof OrderOutcome.Done;
    }
  }

  private void acceptLoad(ReplicaId replica, Sent sent, OrderOutcome outcome, Instant now) {
    Track track = track(replica);
    track.lastLoadAnswer = now;
    switch (outcome) {
      case OrderOutcome.Done done -> track.loadDone = true;
      case OrderOutcome.Failed failed -> track.loadFailed = true;
      case OrderOutcome.Fenced fenced -> track.loadSent = track.loadDone;
      case OrderOutcome.Unknown unknown -> doubt(track, sent.at());
    }
  }

  private void doubt(Track track, Instant sentAt) {
    Instant until = sentAt.plus(bounds.orderTransit());
    if (until.isAfter(track.uncertainUntil)) {
      track.uncertainUntil = until;
    }
  }

  /** Takes orders without an answer for too long as unknown; returns them. */
  List<Sent> expire(Instant now) {
    List<Sent> expired = new ArrayList<>();
    outstanding
        .values()
        .removeIf(
            sent -> {
              boolean late = !now.isBefore(sent.at().plus(bounds.orderTimeout()));
              if (late) {
                expired.add(sent);
              }
              return late;
            });
    for (Sent sent : expired) {
      sent.replica()
          .filter(id -> sent.isLoad())
          .ifPresent(id -> acceptLoad(id, sent, new OrderOutcome.Unknown("no answer"), now));
    }
    return expired;
  }

  /** Forgets replicas that fail the test and have no order under way. */
  void retain(Predicate<ReplicaId> wanted) {
    tracks.keySet().removeIf(id -> !wanted.test(id) && !hasOutstanding(id));
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
  boolean mayTry(ReplicaId replica, Instant now) {
    return !hasOutstanding(replica) && !now.isBefore(track(replica).nextTry);
  }

  /**
   * Returns whether an adapter may be ordered for a replica now, by the time between two orders.
   */
  boolean mayTryAdapter(ReplicaId replica, AdapterId adapter, Instant now) {
    Instant nextTry = track(replica).nextAdapterTries.getOrDefault(adapter, Instant.MIN);
    return !now.isBefore(nextTry);
  }

  /** Returns the number of orders to load an adapter that have no answer yet. */
  long adaptersInTransit() {
    return outstanding.values().stream().filter(Sent::isAdapter).count();
  }

  /**
   * Returns whether this run has sent an order to load the replica that the engine did not fence.
   */
  boolean wasLoadSent(ReplicaId replica) {
    return track(replica).loadSent;
  }

  /** Returns whether an engine said that it carries the load out. */
  boolean wasLoadDone(ReplicaId replica) {
    return track(replica).loadDone;
  }

  /** Returns whether an engine said that it unloads the replica. */
  boolean wasUnloadDone(ReplicaId replica) {
    return track(replica).unloadDone;
  }

  /** Returns whether engines refused all loads of the replica that this run ordered. */
  boolean wasLoadRefused(ReplicaId replica, Instant now) {
    Track track = track(replica);
    return track.loadFailed && !track.loadDone && isCertain(replica, now);
  }

  /** Returns whether no order of this run to load the replica can still take effect. */
  boolean isCertain(ReplicaId replica, Instant now) {
    return !hasOutstandingLoad(replica) && !now.isBefore(track(replica).uncertainUntil);
  }

  /** Returns when the last order to load the replica was answered or stopped to be possible. */
  Instant certainSince(ReplicaId replica) {
    Track track = track(replica);
    return track.uncertainUntil.isAfter(track.lastLoadAnswer)
        ? track.uncertainUntil
        : track.lastLoadAnswer;
  }

  /** Returns whether any order to load has an open or unknown outcome. */
  boolean isUncertain(Instant now) {
    return !outstanding.isEmpty()
        || tracks.values().stream().anyMatch(track -> now.isBefore(track.uncertainUntil));
  }

  private Track track(ReplicaId replica) {
    return tracks.computeIfAbsent(replica, id -> new Track());
  }
}
