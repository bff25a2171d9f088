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
import org.junit.jupiter.params.provider.CsvSource;
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
    Run run = heldByFirst(100);
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
    Run run = heldByFirst(600);
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
    run.targets = List.of("r0");
    run.wanted[1] = false;
    run.steps(100);
    run.wanted[0] = false;
    run.steps(20);
    run.wanted[1] = true;
    run.steps(30);
    OrderLease successor = run.leases.get(1);
    assertThat(successor.mayOrder("r1", run.now)).isTrue();
    assertThat(successor.isKnownQuiet("r1")).isTrue();
    assertThat(successor.mayOrder("r0", run.now)).isFalse();
    assertThat(successor.isKnownQuiet("r0")).isFalse();
    run.steps(350);
    assertThat(successor.mayOrder("r0", run.now)).isTrue();
    run.checkTurns();
  }

  @Test
  void releaseThatComesWhileItsSuccessorWaitsIsSeenSoon() {
    Run run = heldByFirst(100);
    run.wanted[1] = true;
    run.steps(20);
    run.wanted[0] = false;
    run.steps(50);
    assertThat(run.leases.get(1).isHeld()).isTrue();
  }

  @Test
  void holderWithoutOrdersPassesOnWhatItWaitsFor() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a", "b", "c");
    run.targets = List.of("r0");
    run.wanted[1] = false;
    run.wanted[2] = false;
    run.steps(100);
    run.wanted[0] = false;
    run.wanted[1] = true;
    run.steps(100);
    run.wanted[1] = false;
    run.wanted[2] = true;
    run.steps(50);
    OrderLease third = run.leases.get(2);
    assertThat(third.mayOrder("r1", run.now)).isTrue();
    assertThat(third.mayOrder("r0", run.now)).isFalse();
    run.steps(250);
    assertThat(third.mayOrder("r0", run.now)).isTrue();
    run.checkTurns();
  }

  @Test
  void onlyTheWordOnThePredecessorsLastClaimCounts() {
    Run run = heldByFirst(100);
    final long fence = run.leases.getFirst().fence();
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.steps(250);
    OrderLease successor = run.leases.get(1);
    successor.acceptStopped(fence + 1, 0, run.now);
    assertThat(successor.mayOrder(run.now)).isFalse();
    successor.acceptStopped(fence, 0, run.now);
    assertThat(successor.mayOrder(run.now)).isTrue();
  }

  /** The store was away, the holder stopped and said so; its successor began five seconds late. */
  @Test
  void wordThatCameBeforeTheClaimCounts() {
    Run run = heldByFirst(100);
    final long fence = run.leases.getFirst().fence();
    run.frozen[0] = true;
    run.steps(600);
    run.leases.get(1).acceptStopped(fence, 0, run.now);
    run.wanted[1] = true;
    run.steps(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isTrue();
  }

  /** All nodes are killed; the last holder comes back first and needs no handover from itself. */
  @ParameterizedTest
  @CsvSource({"130, false", "560, true"})
  void ownRenewalsCountAgainstTheWaitAfterOneRestart(int steps, boolean soon) {
    Run run = heldByFirst(600);
    run.frozen[0] = true;
    run.wanted[1] = true;
    run.steps(250);
    assertThat(run.leases.get(1).isHeld()).isTrue();
    run.steps(steps);
    run.restart(1);
    run.steps(30);
    assertThat(run.leases.get(1).mayOrder(run.now)).isEqualTo(soon);
    run.checkTurns();
  }

  /** The end of a lost holder's lease is known from its last heartbeat, and the wait with it. */
  @Test
  void lostHoldersLeaseRunsFromItsLastHeartbeat() {
    Duration unheard = firstOrderAfterLoss(false);
    Duration heard = firstOrderAfterLoss(true);
    assertThat(heard).isAtLeast(TIMINGS.handover());
    assertThat(heard).isLessThan(unheard.minus(Duration.ofMillis(500)));
  }

  private static Duration firstOrderAfterLoss(boolean heard) {
    Run run = heldByFirst(100);
    run.frozen[0] = true;
    final Instant lost = run.now;
    if (heard) {
      run.leases.get(1).acceptEnd(run.leases.getFirst().end(), run.now);
    }
    run.steps(90);
    run.wanted[1] = true;
    run.steps(1_000);
    Instant first =
        run.orders.stream().filter(order -> order.node() == 1).findFirst().orElseThrow().at();
    return Duration.between(lost, first);
  }

  @Test
  void releaseThatIsDoneLateIsNotTakenForTheClaimAfterIt() {
    OrderLease lease = OrderLease.create("a", 1, TIMINGS);
    Instant now = START;
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Read.class);
    lease.accept(new LeaseAnswer.Records(0, 0, 0, List.of()), now);
    final LeaseRecord claim = ((LeaseCall.Append) advance(lease, true, now)).record();
    lease.accept(new LeaseAnswer.Appended(0), now);
    final LeaseRecord release = ((LeaseCall.Append) advance(lease, false, now)).record();
    lease.accept(new LeaseAnswer.Failed("no answer"), now);
    now = now.plusSeconds(1);
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Read.class);
    lease.accept(new LeaseAnswer.Records(1, 0, 0, List.of(claim)), now);
    assertThat(advance(lease, true, now)).isInstanceOf(LeaseCall.Append.class);
    lease.accept(new LeaseAnswer.Overtaken(2), now);
    assertThat(advance(lease, true, now)).isEqualTo(new LeaseCall.Read(1));
    lease.accept(new LeaseAnswer.Records(2, 0, 1, List.of(release)), now);
    assertThat(lease.isHeld()).isFalse();
  }

  private static LeaseCall advance(OrderLease lease, boolean wanted, Instant now) {
    return lease.advance(wanted, () -> LoadHistory.NONE, now).orElseThrow();
  }

  @Test
  void releaseWithoutAnswerIsKeptFromPeersForShortTime() {
    LeaseStore store = new LeaseStore(1, 0);
    Run run = new Run(store, TIMINGS, "a");
    run.steps(100);
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
        26, 27, 28, 29, 30, 36, 41, 44, 66, 72, 184, 283, 310, 324, 337, 509
      })
  void twoHoldersNeverOrderOneRunnerWithinTheHandover(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    LeaseStore store = new LeaseStore(seed, 0.2);
    Run run = new Run(store, TIMINGS, "a", "b", "c");
    run.words = new SplittableRandom(seed);
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
    run.checkTurns();
  }

  /** Returns two nodes of which the first has held the lease and the second does not want it. */
  private static Run heldByFirst(int steps) {
    Run run = new Run(new LeaseStore(1, 0), TIMINGS, "a", "b");
    run.wanted[1] = false;
    run.steps(steps);
    return run;
  }

  private record Order(Instant at, int node, long fence, String runner) {}

  /**
   * A node's word that it gives no orders, or how far its log reaches, on its way to the others.
   */
  private record Word(Instant at, long fence, long quietMillis, long end) {}

  /** Steps several nodes; each orders whenever it may. */
  private static final class Run {

    private final LeaseStore store;
    private final List<OrderLease> leases = new ArrayList<>();
    private final List<Order> orders = new ArrayList<>();
    private final List<List<Runnable>> held = new ArrayList<>();
    private final boolean[] wanted;
    private final boolean[] frozen;
    private final String[] names;
    private final List<Word> underWay = new ArrayList<>();
    private List<String> targets = List.of("r0", "r1", "r2");
    private SplittableRandom words;
    private int steps;
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
        steps++;
        store.advance(now);
        tellWords();
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
          .advance(wanted[node], () -> LoadHistory.NONE, now)
          .ifPresent(
              call ->
                  store.call(call, now, answer -> waiting.add(() -> lease.accept(answer, now))));
      String target = targets.get(steps / 40 % targets.size());
      if (lease.mayOrder(target, now)) {
        lease.noteOrder(target, now);
        orders.add(new Order(now, node, lease.fence(), target));
      }
      boolean speaks = words != null && words.nextInt(20) == 0;
      if (speaks && lease.fence() == 0 && lease.lastFence() > 0) {
        Instant at = now.plusMillis(words.nextInt(2_000));
        underWay.add(new Word(at, lease.lastFence(), lease.quietFor(now).toMillis(), -1));
      }
      if (speaks && lease.isHeld()) {
        Instant at = now.plusMillis(words.nextInt(2_000));
        underWay.add(new Word(at, 0, 0, lease.end()));
      }
    }

    private void tellWords() {
      List<Word> due = underWay.stream().filter(word -> !word.at().isAfter(now)).toList();
      underWay.removeAll(due);
      for (Word word : due) {
        for (int node = 0; node < leases.size(); node++) {
          if (!frozen[node]) {
            leases.get(node).acceptEnd(word.end(), now);
            if (word.fence() > 0) {
              leases.get(node).acceptStopped(word.fence(), word.quietMillis(), now);
            }
          }
        }
      }
    }

    /** Checks that each fencing number has one holder, and each runner one within the handover. */
    void checkTurns() {
      Map<Long, Integer> holderOf = new HashMap<>();
      Map<String, Order> lastOf = new HashMap<>();
      for (Order order : orders) {
        Integer holder = holderOf.putIfAbsent(order.fence(), order.node());
        assertThat(holder == null || holder == order.node()).isTrue();
        Order before = lastOf.put(order.runner(), order);
        if (before != null && before.node() != order.node()) {
          assertWithMessage("orders %s and %s", before, order)
              .that(Duration.between(before.at(), order.at()))
              .isAtLeast(timings.handover());
        }
      }
    }
  }
}
