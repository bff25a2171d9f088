package dev.wisteriarail.core.cell;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.cell.CellFleet.LogMode;
import dev.wisteriarail.core.cell.CellFleet.Node;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Control of a cell while the log is usable. Each test injects the failure in its name. */
class CellFaultsTest {

  private static final Duration SOON = Duration.ofSeconds(4);
  private static final Duration LONG = Duration.ofSeconds(20);

  /** The moment at which a controller is killed. */
  enum Moment {
    BEFORE_RECORD,
    BETWEEN_RECORD_AND_ORDER,
    BETWEEN_ORDER_AND_ANSWER,
    WHILE_LOADING
  }

  @Test
  void burstAtAllNodesLoadsTheModelOnce() {
    CellFleet fleet = started(CellFleet.of(4, 3, true));
    fleet.nodes.values().forEach(node -> sendBurst(fleet, node, "m1", 5));
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
    assertThat(fleet.answered).hasSize(20);
  }

  @Test
  void racingClaimsLeaveOneController() {
    CellFleet fleet = CellFleet.of(5, 1, true);
    fleet.nodes.values().forEach(node -> fleet.nodes.values().forEach(to -> cutOneWay(node, to)));
    fleet.run(SOON);
    assertThat(fleet.controllers()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(Moment.class)
  void controllerDiesAndItsSuccessorServes(Moment moment) {
    for (boolean checksFencing : new boolean[] {true, false}) {
      CellFleet fleet = started(CellFleet.of(3, 2, checksFencing));
      Node controller = fleet.controller();
      Node router = fleet.otherThan(controller);
      killController(fleet, controller, router, moment);
      fleet.run(LONG);
      assertThat(fleet.answered).hasSize(1);
      assertThat(fleet.loads()).isEqualTo(1);
      assertThat(fleet.overcommitted()).isEqualTo(0);
    }
  }

  private static void killController(CellFleet fleet, Node controller, Node router, Moment moment) {
    switch (moment) {
      case BEFORE_RECORD -> controller.logMode = LogMode.APPENDS_STUCK;
      case BETWEEN_RECORD_AND_ORDER -> controller.holdsOrders = true;
      case BETWEEN_ORDER_AND_ANSWER -> fleet.engines.values().forEach(e -> e.losesAnswers = true);
      case WHILE_LOADING -> {}
      default -> throw new IllegalArgumentException(moment.name());
    }
    fleet.send(router, "m1");
    Supplier<Boolean> reached =
        switch (moment) {
          case BEFORE_RECORD -> () -> false;
          case BETWEEN_RECORD_AND_ORDER -> () -> !controller.heldOrders.isEmpty();
          case BETWEEN_ORDER_AND_ANSWER, WHILE_LOADING -> () -> fleet.loads() == 1;
        };
    fleet.runUntil(Duration.ofMillis(200), reached);
    controller.dead = true;
    fleet.engines.values().forEach(engine -> engine.losesAnswers = false);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void pausedControllerSendsItsFormedOrderAfterItsSuccessorDecided(boolean checksFencing) {
    CellFleet fleet = started(CellFleet.of(3, 1, checksFencing));
    Node paused = fleet.controller();
    Node router = fleet.otherThan(paused);
    paused.holdsOrders = true;
    fleet.send(router, "m1");
    fleet.runUntil(SOON, () -> !paused.heldOrders.isEmpty());
    paused.paused = true;
    fleet.run(SOON);
    for (int model = 2; model <= 4; model++) {
      fleet.send(router, "m" + model);
    }
    fleet.run(LONG);
    paused.releaseOrders();
    paused.resume();
    fleet.run(LONG);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    assertThat(fleet.controllers()).hasSize(1);
    if (checksFencing) {
      assertThat(fleet.repeatedLoads()).isEqualTo(0);
    }
  }

  @Test
  void memoryOfAnOrderThatMayArriveLateIsNotGivenAway() {
    CellFleet fleet = started(CellFleet.of(3, 1, false));
    Node paused = fleet.controller();
    Node router = fleet.otherThan(paused);
    paused.holdsOrders = true;
    fleet.send(router, "m1");
    fleet.runUntil(SOON, () -> !paused.heldOrders.isEmpty());
    paused.paused = true;
    fleet.run(SOON);
    unloadAll(fleet);
    fleet.send(router, "m2");
    fleet.send(router, "m3");
    fleet.run(LONG);
    paused.releaseOrders();
    fleet.run(SOON);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    assertThat(fleet.engine("r1").replicas.values().stream().map(FakeEngine.Loaded::model))
        .doesNotContain(ModelId.of("m1"));
  }

  @Test
  void timeLeasesAloneWouldOvercommitAnEngineThatIgnoresFencing() {
    FakeEngine engine =
        new FakeEngine(
            CellFleet.of(1, 1, false).engine("r1").id, 100, false, Duration.ofSeconds(1));
    EngineOrder delayed = load("old", 60);
    engine.order(fence(2), load("new", 60), Instant.EPOCH);
    engine.order(fence(1), delayed, Instant.EPOCH);
    assertThat(engine.overcommitted()).isEqualTo(20);
  }

  @Test
  void pausedControllerThatWakesUpStopsControlling() {
    CellFleet fleet = started(CellFleet.of(3, 2, true));
    Node paused = fleet.controller();
    paused.paused = true;
    fleet.run(SOON);
    final int before = fleet.loads();
    paused.resume();
    fleet.send(paused, "m1");
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(before + 1);
    assertThat(fleet.controllers()).hasSize(1);
    assertThat(fleet.answered).hasSize(1);
  }

  @Test
  void lostAppendAnswersDecideOnce() {
    CellFleet fleet = started(CellFleet.of(3, 2, true));
    fleet.nodes.values().forEach(node -> node.logMode = LogMode.LOSES_ANSWERS);
    fleet.send(fleet.node("n2"), "m1");
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
    assertThat(fleet.answered).hasSize(1);
  }

  @Test
  void repeatedDecisionOfClosedReplicaIsIgnored() {
    CellFleet fleet = started(CellFleet.of(1, 1, true));
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    RecordBody.LoadDecided decision = fleet.records(RecordBody.LoadDecided.class).getFirst();
    unloadAll(fleet);
    fleet.store(RecordId.of("again"), "n1", decision);
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void lostOrderAnswersAreResolvedByTheEnginesList(boolean checksFencing) {
    CellFleet fleet = started(CellFleet.of(3, 2, checksFencing));
    fleet.engines.values().forEach(engine -> engine.losesAnswers = true);
    fleet.send(fleet.node("n2"), "m1");
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
    assertThat(fleet.answered).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void orderThatArrivesMinutesLateFindsItsMemoryReserved(boolean numbered) {
    CellFleet fleet = started(CellFleet.of(1, 1, false));
    FakeEngine engine = fleet.engine("r1");
    engine.numbersReports = numbered;
    Node node = fleet.node("n1");
    node.holdsOrders = true;
    fleet.send(node, "m1");
    fleet.run(LONG);
    assertThat(node.heldOrders).isNotEmpty();
    node.holdsOrders = false;
    unloadAll(fleet);
    fleet.send(node, "m2");
    fleet.send(node, "m3");
    fleet.run(Duration.ofMinutes(3));
    node.releaseOrders();
    fleet.run(LONG);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    assertThat(engine.replicas).hasSize(1);
  }

  @Test
  void engineThatComesBackEmptyIsLoadedAgainOnDemand() {
    CellFleet fleet = started(CellFleet.of(2, 1, true));
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    fleet.engine("r1").restart();
    fleet.run(SOON);
    RequestId second = fleet.send(fleet.node("n2"), "m1");
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(second);
    assertThat(fleet.repeatedLoads()).isEqualTo(0);
    assertThat(fleet.overcommitted()).isEqualTo(0);
  }

  @Test
  void replicaThatNobodyDecidedIsCountedAndUnloaded() {
    CellFleet fleet = started(CellFleet.of(2, 1, true));
    FakeEngine engine = fleet.engine("r1");
    engine.unloadsSlowly = true;
    engine.order(
        currentFence(fleet), load("stray", CellFleet.MODEL_BYTES + CellFleet.GIBIBYTE), fleet.now);
    fleet.run(SOON);
    fleet.send(fleet.node("n1"), "m1");
    fleet.send(fleet.node("n1"), "m2");
    fleet.run(SOON);
    assertThat(engine.loads).containsExactly(ReplicaId.of("stray"));
    engine.finishUnloading();
    fleet.run(LONG);
    assertThat(engine.overcommitted()).isEqualTo(0);
    assertThat(fleet.answered).hasSize(2);
  }

  @Test
  void reportedMemoryAboveTheDecisionsCounts() {
    CellFleet fleet = started(CellFleet.of(1, 1, true));
    fleet.engine("r1").extraBytes = CellFleet.MODEL_BYTES + 1;
    fleet.run(SOON);
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(0);
    fleet.engine("r1").extraBytes = 0;
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @Test
  void runnerThatLeavesDuringLoadIsReplaced() {
    CellFleet fleet = started(CellFleet.of(2, 2, true));
    fleet.send(fleet.node("n1"), "m1");
    fleet.runUntil(SOON, () -> fleet.loads() == 1);
    FakeEngine first = engineWithLoad(fleet);
    first.leaving = true;
    fleet.run(LONG);
    assertThat(first.replicas).isEmpty();
    assertThat(fleet.answered).hasSize(1);
  }

  @Test
  void replicaOutOfReachCountsUntilItsRunnerIsSeen() {
    CellFleet fleet = started(CellFleet.of(2, 2, true));
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    FakeEngine first = engineWithLoad(fleet);
    first.down = true;
    fleet.run(LONG);
    final RequestId second = fleet.send(fleet.node("n2"), "m1");
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(1);
    first.down = false;
    fleet.run(LONG);
    assertThat(fleet.loads()).isEqualTo(2);
    assertThat(presentReplicas(fleet)).hasSize(1);
    assertThat(fleet.answered).containsKey(second);
  }

  @Test
  void replicaOutOfReachIsReplacedAtOnceWhereTwoAreAllowed() {
    CellFleet fleet = CellFleet.of(2, 2, true);
    fleet.maxReplicas = 2;
    fleet.addModels(8, "v1");
    fleet.publish();
    started(fleet);
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    engineWithLoad(fleet).down = true;
    fleet.run(LONG);
    RequestId second = fleet.send(fleet.node("n2"), "m1");
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(second);
  }

  @Test
  void runnerThatCannotBeReachedByTheSuccessorCountsAsFull() {
    CellFleet fleet = started(CellFleet.of(3, 2, true));
    Node old = fleet.controller();
    old.dead = true;
    fleet.engine("r1").down = true;
    fleet.run(SOON);
    fleet.send(fleet.controller(), "m1");
    fleet.send(fleet.controller(), "m2");
    fleet.run(SOON);
    assertThat(fleet.engine("r1").loads).isEmpty();
    assertThat(fleet.engine("r2").loads).hasSize(2);
  }

  @Test
  void runnerThatRefusesLoadsIsAskedAtGrowingIntervals() {
    CellFleet fleet = started(CellFleet.of(1, 1, true));
    fleet.engine("r1").refusesLoads = true;
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(LONG);
    assertThat(fleet.records(RecordBody.LoadDecided.class).size()).isLessThan(6);
    fleet.engine("r1").refusesLoads = false;
    fleet.run(Duration.ofSeconds(30));
    assertThat(fleet.answered).hasSize(1);
  }

  @Test
  void runnerThatChangesItsRoleIsEmptied() {
    CellFleet fleet = started(CellFleet.of(1, 2, true));
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    FakeEngine first = engineWithLoad(fleet);
    fleet.makeApplicationRunner(first.id.value());
    fleet.publish();
    fleet.run(SOON);
    assertThat(first.replicas).isEmpty();
  }

  @Test
  void drainedControllerReleasesItsClaimAndIsSucceededAtOnce() {
    CellFleet fleet = started(CellFleet.of(3, 1, true));
    Node old = fleet.controller();
    old.deliver(new Event.DrainRequested());
    assertThat(
            fleet.runUntil(
                Duration.ofMillis(100),
                () -> !fleet.controllers().isEmpty() && fleet.controller() != old))
        .isTrue();
    assertThat(fleet.records(RecordBody.ClaimReleased.class)).hasSize(1);
  }

  @Test
  void successorLoadsSoonAfterTheDeathCanBeSeen() {
    CellFleet fleet = started(CellFleet.of(5, 2, true));
    Node old = fleet.controller();
    Node router = fleet.otherThan(old);
    old.dead = true;
    fleet.send(router, "m1");
    Duration limit = fleet.timings.suspectAfter().plus(Duration.ofMillis(800));
    assertThat(fleet.runUntil(limit, () -> fleet.loads() == 1)).isTrue();
  }

  @Test
  void nodeReplacedAtTheSameAddressClaimsAgainAtOnce() {
    CellFleet fleet = started(CellFleet.of(2, 1, false));
    Node old = fleet.controller();
    fleet.send(old, "m1");
    fleet.run(SOON);
    old.dead = true;
    fleet.start(old.id, 2);
    fleet.run(SOON);
    RequestId second = fleet.send(fleet.node(old.id.value()), "m1");
    fleet.run(SOON);
    assertThat(fleet.controllers()).hasSize(1);
    assertThat(fleet.answered).containsKey(second);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @Test
  void allNodesReplacedInOneMinuteKeepTheReplicas() {
    CellFleet fleet = started(CellFleet.of(3, 2, false));
    fleet.send(fleet.node("n1"), "m1");
    fleet.run(SOON);
    for (int i = 1; i <= 3; i++) {
      NodeId id = NodeId.of("n" + i);
      fleet.node("n" + i).dead = true;
      fleet.start(id, 2);
      fleet.run(LONG);
    }
    RequestId second = fleet.send(fleet.node("n3"), "m1");
    fleet.run(SOON);
    assertThat(fleet.answered).containsKey(second);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @Test
  void cutBetweenTwoGroupsDoesNotMakeTheClaimFlap() {
    CellFleet fleet = started(CellFleet.of(4, 2, true));
    for (String left : new String[] {"n1", "n2"}) {
      for (String right : new String[] {"n3", "n4"}) {
        cutOneWay(fleet.node(left), fleet.node(right));
        cutOneWay(fleet.node(right), fleet.node(left));
      }
    }
    fleet.run(Duration.ofMinutes(10));
    assertThat(fleet.records(RecordBody.ClaimRecorded.class).size()).isLessThan(40);
    fleet.nodes.values().forEach(node -> node.cutFrom.clear());
    fleet.run(LONG);
    int claims = fleet.records(RecordBody.ClaimRecorded.class).size();
    fleet.run(Duration.ofMinutes(2));
    assertThat(fleet.records(RecordBody.ClaimRecorded.class)).hasSize(claims);
    assertThat(fleet.controllers()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void listThatDropsTheLiveControllerDoesNotCloseIt(boolean dropsForLong) {
    CellFleet fleet = started(CellFleet.of(3, 1, true));
    Node old = fleet.controller();
    fleet.listedNodes.remove(old.id);
    fleet.run(dropsForLong ? Duration.ofMinutes(20) : SOON);
    RequestId request = fleet.send(fleet.otherThan(old), "m1");
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(request);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  // Helpers

  private static CellFleet started(CellFleet fleet) {
    fleet.run(SOON);
    assertThat(fleet.controllers()).hasSize(1);
    return fleet;
  }

  private static void sendBurst(CellFleet fleet, Node node, String model, int count) {
    for (int i = 0; i < count; i++) {
      fleet.send(node, model);
    }
  }

  private static void cutOneWay(Node from, Node to) {
    from.cutFrom.add(to.id);
  }

  /** Appends decisions to unload all replicas to the log, as an idle timeout would. */
  private static void unloadAll(CellFleet fleet) {
    for (Reservation reservation : List.copyOf(replayLog(fleet).reservations())) {
      fleet.store(
          RecordId.of("unload-" + reservation.replica()),
          "test",
          new RecordBody.UnloadDecided(CellFleet.CELL, currentFence(fleet), reservation.replica()));
    }
    fleet.run(SOON);
  }

  private static CellState replayLog(CellFleet fleet) {
    CellState cellState = CellState.create(CellFleet.CELL);
    fleet.log.forEach(cellState::apply);
    return cellState;
  }

  private static FencingNumber currentFence(CellFleet fleet) {
    return replayLog(fleet).fence();
  }

  private static List<ReplicaId> presentReplicas(CellFleet fleet) {
    return fleet.engines.values().stream()
        .flatMap(engine -> engine.replicas.keySet().stream())
        .toList();
  }

  private static FakeEngine engineWithLoad(CellFleet fleet) {
    return fleet.engines.values().stream()
        .filter(engine -> !engine.loads.isEmpty())
        .findFirst()
        .orElseThrow();
  }

  private static EngineOrder load(String replica, long bytes) {
    return new EngineOrder.LoadReplica(ReplicaId.of(replica), ModelId.of("m8"), "v1", bytes);
  }

  private static FencingNumber fence(long value) {
    return FencingNumber.of(value);
  }
}
