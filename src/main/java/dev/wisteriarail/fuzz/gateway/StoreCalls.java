package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Duration;
import java.time.Instant;

/**
 * Delivers calls of nodes to the store, and the answers back.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class StoreCalls {

  private static final Duration STORE_TIMEOUT = Duration.ofMillis(900);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final SeededRandom network;
  private final FakeMetadataStore store;

  StoreCalls(
      GatewayFuzz simulation,
      VirtualScheduler time,
      SeededRandom network,
      FakeMetadataStore store) {
    this.simulation = simulation;
    this.time = time;
    this.network = network;
    this.store = store;
  }

  private boolean reachesStore(FuzzedNode node) {
    return !simulation.faults().isStoreDown() && !node.isStoreCut();
  }

  void register(FuzzedNode node, long incarnation, NodeAddress address) {
    boolean done = reachesStore(node);
    if (done) {
      store.register(address, time.now());
    }
    simulation.deliverAfter(
        network.nextDuration(2, 20),
        node,
        incarnation,
        new GatewayEvent.RegistrationCompleted(done));
  }

  void save(FuzzedNode node, long incarnation, CrashRefusal refusal) {
    boolean done = reachesStore(node);
    if (done) {
      store.save(refusal, time.now());
    }
    simulation.deliverAfter(
        network.nextDuration(2, 20), node, incarnation, new GatewayEvent.RefusalSaved(done));
  }

  void read(FuzzedNode node, long incarnation, StoreRead call, Instant startedAt) {
    if (!reachesStore(node)) {
      simulation.deliverAfter(
          network.nextBoolean(0.5) ? STORE_TIMEOUT : network.nextDuration(2, 10),
          node,
          incarnation,
          new GatewayEvent.StoreReadCompleted(call, new StoreAnswer.Failed("down")));
      return;
    }
    boolean waits =
        call instanceof StoreRead.NextConfiguration next
            && time.now().isBefore(startedAt.plus(next.maxWait()));
    if (waits && !store.hasUpdate(call)) {
      time.after(POLL_INTERVAL, () -> read(node, incarnation, call, startedAt));
    } else {
      StoreAnswer answer = store.read(call, time.now());
      simulation.deliverAfter(
          network.nextDuration(2, 20),
          node,
          incarnation,
          new GatewayEvent.StoreReadCompleted(call, answer));
    }
  }

  void callLease(FuzzedNode node, long incarnation, LeaseCall call) {
    if (!reachesStore(node)) {
      simulation.deliverAfter(
          STORE_TIMEOUT,
          node,
          incarnation,
          new GatewayEvent.LeaseCallCompleted(new LeaseAnswer.Failed("no answer")));
      if (call instanceof LeaseCall.Append
          && network.nextBoolean(simulation.faults().lostAnswerShare())) {
        time.after(network.nextDuration(0, 3_000), () -> store.call(call, time.now()));
      }
      return;
    }
    if (call instanceof LeaseCall.Append
        && network.nextBoolean(simulation.faults().lostAnswerShare())) {
      time.after(network.nextDuration(0, 3_000), () -> store.call(call, time.now()));
      simulation.deliverAfter(
          STORE_TIMEOUT,
          node,
          incarnation,
          new GatewayEvent.LeaseCallCompleted(new LeaseAnswer.Failed("no answer")));
      return;
    }
    time.after(
        network.nextDuration(1, 10),
        () ->
            simulation.deliverAfter(
                network.nextDuration(1, 10),
                node,
                incarnation,
                new GatewayEvent.LeaseCallCompleted(store.call(call, time.now()))));
  }
}
