package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Simulates the leases of several nodes on one store; each node sends an order whenever it may. */
final class LeaseSimulation {

  record Order(Instant at, int node, long fence, String runner) {}

  /** An order in transit, whose holder learns its outcome when it arrives. */
  private record OpenOrder(Order order, long number, OrderLease lease) {}

  /**
   * A notice in transit to the other nodes: that a node sends no orders, or the end of its lease
   * log.
   */
  private record Notice(Instant at, long fence, long quietMillis, LogPosition end) {}

  private final SimulatedLeaseStore store;
  final List<OrderLease> leases = new ArrayList<>();
  final List<Order> orders = new ArrayList<>();
  private final List<List<Runnable>> pendingAnswers = new ArrayList<>();
  final boolean[] wanted;
  final boolean[] frozen;
  private final String[] names;
  private final List<Notice> inTransit = new ArrayList<>();
  List<String> targets = List.of("r0", "r1", "r2");
  SplittableRandom noticeRandom;

  /** Draws how long an order is in transit, up to its timeout; null if it arrives at once. */
  SplittableRandom transitRandom;

  private final List<OpenOrder> openOrders = new ArrayList<>();
  private long orderNumber;
  private int steps;
  private final FleetTimings timings;
  Instant now = Instant.EPOCH;
  private long incarnation = 1;

  LeaseSimulation(SimulatedLeaseStore store, FleetTimings timings, String... names) {
    this.store = store;
    this.names = names;
    this.timings = timings;
    wanted = new boolean[names.length];
    frozen = new boolean[names.length];
    for (int i = 0; i < names.length; i++) {
      leases.add(OrderLease.create(names[i], 1, timings));
      pendingAnswers.add(new ArrayList<>());
      wanted[i] = true;
    }
  }

  /** Replaces a node's process; answers to the old process are lost. */
  void restart(int node) {
    leases.set(node, OrderLease.create(names[node], ++incarnation, timings));
    pendingAnswers.set(node, new ArrayList<>());
    frozen[node] = false;
  }

  void run(int count) {
    for (int i = 0; i < count; i++) {
      now = now.plus(SimulatedLeaseStore.step());
      steps++;
      store.advance(now);
      deliverNotices();
      completeOrders();
      for (int node = 0; node < leases.size(); node++) {
        step(node);
      }
    }
  }

  private void step(int node) {
    if (frozen[node]) {
      return;
    }
    OrderLease lease = leases.get(node);
    List<Runnable> waiting = pendingAnswers.get(node);
    waiting.forEach(Runnable::run);
    waiting.clear();
    lease
        .advance(wanted[node], () -> LoadHistory.NONE, now)
        .ifPresent(
            call -> store.call(call, now, answer -> waiting.add(() -> lease.accept(answer, now))));
    String target = targets.get(steps / 40 % targets.size());
    if (lease.mayOrder(target, now)) {
      Duration timeout = lease.recordOrder(target, ++orderNumber, now);
      long transitMillis =
          transitRandom == null ? 0 : transitRandom.nextLong(timeout.toMillis() + 1);
      Order order = new Order(now.plusMillis(transitMillis), node, lease.fence(), target);
      orders.add(order);
      openOrders.add(new OpenOrder(order, orderNumber, lease));
    }
    boolean sendsNotice = noticeRandom != null && noticeRandom.nextInt(20) == 0;
    if (sendsNotice && lease.fence() == 0 && lease.lastFence() > 0) {
      Instant at = now.plusMillis(noticeRandom.nextInt(2_000));
      inTransit.add(
          new Notice(at, lease.lastFence(), lease.successorWait(now).toMillis(), LogPosition.NONE));
    }
    if (sendsNotice && lease.isHeld()) {
      Instant at = now.plusMillis(noticeRandom.nextInt(2_000));
      inTransit.add(new Notice(at, 0, 0, lease.end()));
    }
  }

  private void completeOrders() {
    openOrders.removeIf(
        open -> {
          boolean completed = !frozen[open.order().node()] && !open.order().at().isAfter(now);
          if (completed) {
            open.lease().recordOrderCompleted(open.order().runner(), open.number(), now);
          }
          return completed;
        });
  }

  private void deliverNotices() {
    List<Notice> due = inTransit.stream().filter(notice -> !notice.at().isAfter(now)).toList();
    inTransit.removeAll(due);
    for (Notice notice : due) {
      for (int node = 0; node < leases.size(); node++) {
        if (!frozen[node]) {
          leases.get(node).acceptReportedEnd(notice.end(), now);
          if (notice.fence() > 0) {
            leases.get(node).acceptStopNotice(notice.fence(), notice.quietMillis(), now);
          }
        }
      }
    }
  }

  /**
   * Asserts that each fencing number has a single holder, and that orders of two holders arrive at
   * the same runner at least the handover delay apart.
   */
  void checkExclusivity() {
    Map<Long, Integer> holderOf = new HashMap<>();
    Map<String, Order> lastOf = new HashMap<>();
    List<Order> arrivals = orders.stream().sorted(Comparator.comparing(Order::at)).toList();
    for (Order order : arrivals) {
      Integer holder = holderOf.putIfAbsent(order.fence(), order.node());
      assertThat(holder == null || holder == order.node()).isTrue();
      Order before = lastOf.put(order.runner(), order);
      if (before != null && before.node() != order.node()) {
        assertWithMessage("orders %s and %s", before, order)
            .that(Duration.between(before.at(), order.at()))
            .isAtLeast(timings.handoverDelay());
      }
    }
  }
}
