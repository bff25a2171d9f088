package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the leases of several nodes on one faulty store, in virtual time. */
class OrderLeaseTest {

  private static final Instant START = Instant.EPOCH;
  static final FleetTimings TIMINGS = FleetTimings.DEFAULT.withOrders(Duration.ofSeconds(3), false);

  @Test
  void firstHolderOrdersAtOnce() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a");
    run.run(50);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
    assertThat(run.leases.getFirst().fence()).isEqualTo(1);
  }

  @Test
  void successorOfSilentHolderWaitsOutItsLeaseAndTheHandover() {
    LeaseSimulation run = heldByFirst(100);
    run.frozen[0] = true;
    final Instant stopped = run.now;
    run.wanted[1] = true;
    run.run(1_000);
    assertThat(run.leases.get(1).fence()).isGreaterThan(1);
    Instant firstOrder =
        run.orders.stream().filter(order -> order.node() == 1).findFirst().orElseThrow().at();
    assertThat(Duration.between(stopped, firstOrder)).isAtLeast(TIMINGS.handoverDelay());
    run.frozen[0] = false;
    run.run(20);
    assertThat(run.leases.get(0).mayOrder(run.now)).isFalse();
  }

  @Test
  void restartedHolderGoesOnAtOnceIfNobodyElseHeldTheLeaseLately() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a");
    run.run(1_000);
    run.restart(0);
    run.run(30);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  @Test
  void holderThatRestartsSoonAfterItsClaimWaitsOutTheOneBefore() {
    LeaseSimulation run = heldByFirst(600);
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.run(250);
    assertThat(run.leases.get(1).isHeld()).isTrue();
    run.restart(1);
    run.run(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isFalse();
  }

  @Test
  void releasedLeaseIsTakenWithoutWaitingForItsEnd() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a", "b");
    run.targets = List.of("r0");
    run.wanted[1] = false;
    run.run(100);
    run.wanted[0] = false;
    run.run(20);
    run.wanted[1] = true;
    run.run(30);
    OrderLease successor = run.leases.get(1);
    assertThat(successor.mayOrder("r1", run.now)).isTrue();
    assertThat(successor.hasNoRecentOrders("r1")).isTrue();
    assertThat(successor.mayOrder("r0", run.now)).isFalse();
    assertThat(successor.hasNoRecentOrders("r0")).isFalse();
    run.run(350);
    assertThat(successor.mayOrder("r0", run.now)).isTrue();
    run.checkExclusivity();
  }

  @Test
  void releaseThatComesWhileItsSuccessorWaitsIsSeenSoon() {
    LeaseSimulation run = heldByFirst(100);
    run.wanted[1] = true;
    run.run(20);
    run.wanted[0] = false;
    run.run(50);
    assertThat(run.leases.get(1).isHeld()).isTrue();
  }

  @Test
  void holderWithoutOrdersHandsOverItsInheritedPauses() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a", "b", "c");
    run.targets = List.of("r0");
    run.wanted[1] = false;
    run.wanted[2] = false;
    run.run(100);
    run.wanted[0] = false;
    run.wanted[1] = true;
    run.run(100);
    run.wanted[1] = false;
    run.wanted[2] = true;
    run.run(50);
    OrderLease third = run.leases.get(2);
    assertThat(third.mayOrder("r1", run.now)).isTrue();
    assertThat(third.mayOrder("r0", run.now)).isFalse();
    run.run(250);
    assertThat(third.mayOrder("r0", run.now)).isTrue();
    run.checkExclusivity();
  }

  @Test
  void onlyStopNoticeOfThePredecessorsLastClaimCounts() {
    LeaseSimulation run = heldByFirst(100);
    final long fence = run.leases.getFirst().fence();
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.run(250);
    OrderLease successor = run.leases.get(1);
    successor.acceptStopNotice(fence + 1, 0, run.now);
    assertThat(successor.mayOrder(run.now)).isFalse();
    successor.acceptStopNotice(fence, 0, run.now);
    assertThat(successor.mayOrder(run.now)).isTrue();
  }

  /**
   * Guards against a needless wait: after an outage of the store, in which the holder stopped and
   * gave notice, its successor sent its first order five seconds late.
   */
  @Test
  void stopNoticeThatCameBeforeTheClaimCounts() {
    LeaseSimulation run = heldByFirst(100);
    final long fence = run.leases.getFirst().fence();
    run.frozen[0] = true;
    run.run(600);
    run.leases.get(1).acceptStopNotice(fence, 0, run.now);
    run.wanted[1] = true;
    run.run(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isTrue();
  }

  /** All nodes are killed. The last holder restarts first and need not wait for its own orders. */
  @ParameterizedTest
  @CsvSource({"130, false", "560, true"})
  void ownRenewalsCountAgainstTheWaitAfterOneRestart(int steps, boolean soon) {
    LeaseSimulation run = heldByFirst(600);
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.run(250);
    assertThat(run.leases.get(1).isHeld()).isTrue();
    run.run(steps);
    run.restart(1);
    run.run(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isEqualTo(soon);
    run.checkExclusivity();
  }

  /**
   * The last heartbeat of a failed holder shows how far its lease reaches, which shortens the wait.
   */
  @Test
  void lostHoldersLeaseRunsFromItsLastHeartbeat() {
    Duration withoutHeartbeat = timeToFirstOrderAfterLoss(false);
    Duration withHeartbeat = timeToFirstOrderAfterLoss(true);
    assertThat(withHeartbeat).isAtLeast(TIMINGS.handoverDelay());
    assertThat(withHeartbeat).isLessThan(withoutHeartbeat.minus(Duration.ofMillis(500)));
  }

  private static Duration timeToFirstOrderAfterLoss(boolean reportEnd) {
    LeaseSimulation run = heldByFirst(100);
    run.frozen[0] = true;
    final Instant lost = run.now;
    if (reportEnd) {
      run.leases.get(1).acceptReportedEnd(run.leases.getFirst().end(), run.now);
    }
    run.run(90);
    run.wanted[1] = true;
    run.run(1_000);
    Instant first =
        run.orders.stream().filter(order -> order.node() == 1).findFirst().orElseThrow().at();
    return Duration.between(lost, first);
  }

  @Test
  void releaseThatIsDoneLateIsNotTakenForTheClaimAfterIt() {
    OrderLease lease = OrderLease.create("a", 1, TIMINGS);
    Instant now = START;
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Read.class);
    lease.accept(new LeaseAnswer.Records(LogPosition.of(0, 0), 0, 0, List.of()), now);
    final LeaseRecord claim = ((LeaseCall.Append) advance(lease, true, now)).record();
    lease.accept(new LeaseAnswer.Appended(LogPosition.of(0, 0)), now);
    final LeaseRecord release = ((LeaseCall.Append) advance(lease, false, now)).record();
    lease.accept(new LeaseAnswer.Failed("no answer"), now);
    now = now.plusSeconds(1);
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Read.class);
    lease.accept(new LeaseAnswer.Records(LogPosition.of(0, 1), 0, 0, List.of(claim)), now);
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Append.class);
    lease.accept(new LeaseAnswer.Conflict(LogPosition.of(0, 2)), now);
    assertThat(advance(lease, true, now)).isEqualTo(new LeaseCall.Read(1));
    lease.accept(new LeaseAnswer.Records(LogPosition.of(0, 2), 0, 1, List.of(release)), now);
    assertThat(lease.isHeld()).isFalse();
  }

  private static LeaseCall advance(OrderLease lease, boolean wanted, Instant now) {
    return lease.advance(wanted, () -> LoadHistory.NONE, now).orElseThrow();
  }

  @Test
  void releaseWithoutAnswerIsKeptFromPeersForShortTime() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a");
    run.run(100);
    OrderLease lease = run.leases.getFirst();
    advance(lease, false, run.now.plusSeconds(1));
    assertThat(lease.isHeld()).isFalse();
    assertThat(lease.fence()).isEqualTo(1);
    lease.advance(false, () -> LoadHistory.NONE, run.now.plusMillis(1_250));
    assertThat(lease.fence()).isEqualTo(0);
  }

  @Test
  void holderGoesOnInAnOutageOnlyWhereRunnersCheckFences() {
    for (boolean enforced : new boolean[] {true, false}) {
      SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
      LeaseSimulation run =
          new LeaseSimulation(store, TIMINGS.withOrders(TIMINGS.handoverDelay(), enforced), "a");
      run.run(100);
      store.setDown(true);
      run.run(500);
      assertThat(run.leases.getFirst().mayOrder(run.now)).isEqualTo(enforced);
    }
  }

  @Test
  void holderThatStoodStillRenewsBeforeItsNextOrder() {
    SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a");
    run.run(100);
    run.leases.getFirst().requireRenewal();
    assertThat(run.leases.getFirst().mayOrder(run.now)).isFalse();
    run.run(20);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25,
        26, 27, 28, 29, 30, 36, 41, 44, 66, 72, 184, 283, 310, 324, 337, 509
      })
  void twoHoldersNeverOrderOneRunnerWithinTheHandover(long seed) {
    checkExclusivity(seed, null);
  }

  /**
   * Guards against orders that arrive after the wait of the next holder has begun: an order was
   * given up only 500 ms after it was sent, and the wait allowed 200 ms.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void ordersOfTwoHoldersNeverArriveWithinTheHandover(long seed) {
    checkExclusivity(seed, new SplittableRandom(seed));
  }

  private static void checkExclusivity(long seed, SplittableRandom transitRandom) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedLeaseStore store = new SimulatedLeaseStore(seed, 0.2);
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, "a", "b", "c");
    run.noticeRandom = new SplittableRandom(seed);
    run.transitRandom = transitRandom;
    for (int round = 0; round < 200; round++) {
      int node = random.nextInt(3);
      switch (random.nextInt(6)) {
        case 3 -> run.restart(node);
        case 0 -> run.wanted[node] = !run.wanted[node];
        case 1 -> run.frozen[node] = !run.frozen[node];
        case 2 -> store.setDown(random.nextBoolean());
        default -> store.setDown(false);
      }
      run.run(random.nextInt(100));
    }
    run.checkExclusivity();
  }

  /** Returns two nodes of which the first holds the lease and the second is not to claim it. */
  static LeaseSimulation heldByFirst(int steps) {
    LeaseSimulation run = new LeaseSimulation(new SimulatedLeaseStore(1, 0), TIMINGS, "a", "b");
    run.wanted[1] = false;
    run.run(steps);
    return run;
  }
}
