package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests leases on a store that is restored from an older copy of itself. */
class OrderLeaseEraTest {

  private static final FleetTimings TIMINGS = OrderLeaseTest.TIMINGS;

  private final SimulatedLeaseStore store = new SimulatedLeaseStore(1, 0);

  private LeaseSimulation simulate(String... names) {
    LeaseSimulation run = new LeaseSimulation(store, TIMINGS, names);
    for (int node = 1; node < names.length; node++) {
      run.wanted[node] = false;
    }
    return run;
  }

  /** The claim is lost, and the next claim gets an earlier position than the first one had. */
  @ParameterizedTest
  @ValueSource(ints = {1_000, 4_000, 20_000})
  void fencingNumbersRiseOverEras(int lostMillis) {
    LeaseSimulation run = simulate("a", "b");
    run.run(500);
    final long before = run.leases.getFirst().fence();
    store.restore(run.now.minusMillis(lostMillis));
    run.wanted[0] = false;
    run.wanted[1] = true;
    run.run(1_000);
    assertThat(run.leases.get(1).fence()).isGreaterThan(before);
    run.checkExclusivity();
  }

  @Test
  void holderGoesOnUnderNewNumberAtOnce() {
    LeaseSimulation run = simulate("a");
    run.run(500);
    final long before = run.leases.getFirst().fence();
    store.restore(run.now.minusSeconds(4));
    run.run(100);
    assertThat(run.leases.getFirst().fence()).isGreaterThan(before);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  @Test
  void reclaimingHolderKeepsItsLoadHistory() {
    OrderLease lease = OrderLease.create("a", 1, TIMINGS);
    LoadHistory loads = new LoadHistory(List.of(), List.of(700L));
    Instant now = Instant.EPOCH;
    lease.advance(true, () -> loads, now);
    lease.accept(new LeaseAnswer.Records(LogPosition.of(0, 0), 0, 0, List.of()), now);
    lease.advance(true, () -> loads, now);
    lease.accept(new LeaseAnswer.Appended(LogPosition.of(0, 0)), now);
    lease.acceptEra(1, now);
    assertThat(lease.isHeld()).isTrue();
    assertThat(lease.mayOrder(now)).isFalse();
    lease.advance(true, () -> loads, now);
    lease.accept(new LeaseAnswer.Records(LogPosition.of(1, 0), 0, 0, List.of()), now);
    lease.advance(true, () -> loads, now);
    lease.accept(new LeaseAnswer.Appended(LogPosition.of(1, 0)), now);
    assertThat(lease.mayOrder(now)).isTrue();
    assertThat(lease.predecessorLoads()).isEqualTo(loads);
  }

  /**
   * According to the log nobody holds the lease, because the claim of the current holder is lost.
   */
  @Test
  void releaseThatIsNewestAgainIsNotTrusted() {
    LeaseSimulation run = simulate("a", "b", "c");
    run.run(300);
    run.wanted[0] = false;
    run.run(100);
    final Instant released = run.now;
    run.wanted[1] = true;
    run.run(300);
    assertThat(run.leases.get(1).mayOrder(run.now)).isTrue();
    run.frozen[1] = true;
    final Instant lastOrder = run.orders.getLast().at();
    store.restore(released);
    run.wanted[2] = true;
    run.run(1_000);
    Instant first =
        run.orders.stream().filter(order -> order.node() == 2).findFirst().orElseThrow().at();
    assertThat(Duration.between(lastOrder, first)).isAtLeast(TIMINGS.handoverDelay());
    run.checkExclusivity();
  }

  @Test
  void emptyLogOfLaterEraIsNotTrusted() {
    LeaseSimulation run = simulate("a", "b");
    run.run(300);
    run.frozen[0] = true;
    store.restore(Instant.EPOCH.minusSeconds(1));
    run.wanted[1] = true;
    run.run(100);
    assertThat(run.leases.get(1).mayOrder(run.now)).isFalse();
    run.run(900);
    assertThat(run.leases.get(1).mayOrder(run.now)).isTrue();
    run.checkExclusivity();
  }

  /** A claim sent in one era takes effect in the next, at a position that was used before. */
  @Test
  void claimThatTakesEffectInNextEraGivesNoOrders() {
    OrderLease lease = OrderLease.create("a", 1, TIMINGS);
    Instant now = Instant.EPOCH;
    lease.advance(true, () -> LoadHistory.NONE, now);
    LeaseRecord release =
        LeaseRecord.release("b", 1, 1, 0, new Handover(0, java.util.Map.of(), LoadHistory.NONE));
    lease.accept(new LeaseAnswer.Records(LogPosition.of(0, 1), 0, 0, List.of(release)), now);
    assertThat(lease.advance(true, () -> LoadHistory.NONE, now).orElseThrow())
        .isInstanceOf(LeaseCall.Append.class);
    lease.accept(new LeaseAnswer.Appended(LogPosition.of(1, 1)), now);
    assertThat(lease.isHeld()).isFalse();
    assertThat(lease.fence()).isEqualTo(0);
  }

  @Test
  void answerOfAnEarlierEraIsPassedOver() {
    OrderLease lease = OrderLease.create("a", 1, TIMINGS);
    Instant now = Instant.EPOCH;
    lease.acceptEra(3, now);
    lease.advance(true, () -> LoadHistory.NONE, now);
    lease.accept(new LeaseAnswer.Records(LogPosition.of(2, 0), 0, 0, List.of()), now);
    assertThat(lease.end().era()).isEqualTo(3);
    assertThat(lease.advance(true, () -> LoadHistory.NONE, now.plusSeconds(1)).orElseThrow())
        .isEqualTo(new LeaseCall.Read(0));
  }

  /** Where runners check fencing numbers, a holder continues after a long outage of the store. */
  @Test
  void outageBeforeTheChangeDoesNotStopFencedHolder() {
    LeaseSimulation run =
        new LeaseSimulation(store, TIMINGS.withOrders(TIMINGS.handoverDelay(), true), "a");
    run.run(500);
    store.setDown(true);
    run.run(400);
    store.restore(run.now.minusSeconds(6));
    store.setDown(false);
    run.run(100);
    assertThat(run.leases.getFirst().mayOrder(run.now)).isTrue();
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, 60);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void twoHoldersNeverOrderOneRunnerWithinTheHandover(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedLeaseStore faulty = new SimulatedLeaseStore(seed, 0.2);
    LeaseSimulation run = new LeaseSimulation(faulty, TIMINGS, "a", "b", "c");
    run.noticeRandom = new SplittableRandom(seed);
    for (int round = 0; round < 200; round++) {
      int node = random.nextInt(3);
      switch (random.nextInt(8)) {
        case 0 -> run.wanted[node] = !run.wanted[node];
        case 1 -> run.frozen[node] = !run.frozen[node];
        case 2 -> faulty.setDown(random.nextBoolean());
        case 3 -> run.restart(node);
        case 4, 5 -> faulty.restore(run.now.minusMillis(random.nextInt(6_000)));
        default -> faulty.setDown(false);
      }
      run.run(random.nextInt(100));
    }
    run.checkExclusivity();
  }
}
