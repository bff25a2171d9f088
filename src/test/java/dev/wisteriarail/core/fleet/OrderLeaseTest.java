package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leases of several nodes over one faulty store, in virtual time. */
class OrderLeaseTest {

  private static final Instant START = Instant.EPOCH;
  private static final FleetTimings TIMINGS =
      FleetTimings.DEFAULT.withOrders(Duration.ofSeconds(3), false);

  @Test
  void firstHolderOrdersAtOnce() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a");
    run.steps(50);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
    assertThat(run.leases.getFirst().fence()).isEqualTo(1);
  }

  @Test
  void successorOfSilentHolderWaitsOutItsLeaseAndTheHandover() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a", "b");
    run.wanted[1] = false;
    run.steps(100);
    run.frozen[0] = true;
    final Instant stopped = run.now;
    run.wanted[1] = true;
    run.steps(1_000);
    assertThat(run.leases.get(1).fence()).isGreaterThan(1);
    Instant firstOrder =
        run.orders.stream().filter(order -> order.node() == 1).findFirst().orElseThrow().at();
    assertThat(Duration.between(stopped, firstOrder)).isAtLeast(TIMINGS.handover());
    run.frozen[0] = false;
    run.steps(20);
    assertThat(run.leases.get(0).mayOrder(run.now)).isFalse();
  }

  @Test
  void restartedHolderGoesOnAtOnceIfNobodyElseHeldTheLeaseLately() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a");
    run.steps(1_000);
    run.restart(0);
    run.steps(30);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  @Test
  void holderThatRestartsSoonAfterItsClaimWaitsOutTheOneBefore() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a", "b");
    run.wanted[1] = false;
    run.steps(600);
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.steps(250);
    assertThat(run.leases.get(1).isHeld()).isTrue();
    run.restart(1);
    run.steps(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isFalse();
  }

  @Test
  void releasedLeaseIsTakenWithoutWaitingForItsEnd() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a", "b");
    run.wanted[1] = false;
    run.steps(100);
    run.wanted[0] = false;
    run.steps(20);
    run.wanted[1] = true;
    run.steps(30);
    assertThat(run.leases.get(1).isHeld()).isTrue();
    run.leases.get(1).acceptStopped("a", run.now.minus(Duration.ofSeconds(4)), run.now);
    assertThat(run.leases.get(1).mayOrder(run.now)).isTrue();
  }

  @Test
  void holderGoesOnInAnOutageOnlyWhereRunnersCheckFences() {
    for (boolean enforced : new boolean[] {true, false}) {
      LeaseStore store = new LeaseStore(1, 0);
      Run run = new Run(store, TIMINGS.withOrders(TIMINGS.handover(), enforced), "a");
      run.steps(100);
      store.setDown(true);
      run.steps(500);
      assertThat(run.leases.getFirst().mayOrder(run.now)).isEqualTo(enforced);
    }
  }

  @Test
  void holderThatStoodStillRenewsBeforeItsNextOrder() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a");
    run.steps(100);
    run.leases.getFirst().suspect();
    assertThat(run.leases.getFirst().mayOrder(run.now)).isFalse();
    run.steps(20);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
        26, 27, 28, 29, 30
      })
  void twoHoldersNeverOrderWithinTheHandover(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LeaseStore store = new LeaseStore(seed, 0.2);
    Run run = new Run(store, TIMINGS, "a", "b", "c");
    for (int round = 0; round < 200; round++) {
      int node = random.nextInt(3);
      switch (random.nextInt(6)) {
        case 3 -> run.restart(node);
        case 0 -> run.wanted[node] = !run.wanted[node];
        case 1 -> run.frozen[node] = !run.frozen[node];
        case 2 -> store.setDown(random.nextBoolean());
        default -> store.setDown(false);
      }
      run.steps(random.nextInt(100));
    }
    Map<Long, Integer> holderOf = new HashMap<>();
    Order before = null;
    for (Order order : run.orders) {
      Integer holder = holderOf.putIfAbsent(order.fence(), order.node());
      assertThat(holder == null || holder == order.node()).isTrue();
      if (before != null && before.node() != order.node()) {
        assertWithMessage("orders of %s and %s", before, order)
            .that(Duration.between(before.at(), order.at()))
            .isAtLeast(TIMINGS.handover());
      }
      before = order;
    }
    assertThat(run.orders).isNotEmpty();
  }

  private record Order(Instant at, int node, long fence) {}

  /** Steps several nodes; each orders whenever it may. */
  private static final class Run {

    private final LeaseStore store;
    private final List<OrderLease> leases = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();
    private final List<List<Runnable>> held = new ArrayList<>();
    private final boolean[] wanted;
    private final boolean[] frozen;
    private final String[] names;
    private final FleetTimings timings;
    private Instant now = START;
    private long incarnation = 1;

    Run(LeaseStore store, FleetTimings timings, String... names) {
      this.store = store;
      this.names = names;
      this.timings = timings;
      wanted = new boolean[names.length];
      frozen = new boolean[names.length];
      for (int i = 0; i < names.length; i++) {
        leases.add(OrderLease.create(names[i], 1, timings));
        held.add(new ArrayList<>());
        wanted[i] = true;
      }
    }

    /** Replaces a node's process; answers to the old one are lost. */
    void restart(int node) {
      leases.set(node, OrderLease.create(names[node], ++incarnation, timings));
      held.set(node, new ArrayList<>());
      frozen[node] = false;
    }

    void steps(int count) {
      for (int i = 0; i < count; i++) {
        now = now.plus(LeaseStore.step());
        store.advance(now);
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
      List<Runnable> waiting = held.get(node);
      waiting.forEach(Runnable::run);
      waiting.clear();
      lease
          .advance(wanted[node], now)
          .ifPresent(
              call ->
                  store.call(call, now, answer -> waiting.add(() -> lease.accept(answer, now))));
      if (lease.mayOrder(now)) {
        orders.add(new Order(now, node, lease.fence()));
      }
    }
  }
}
