package dev.wisteriarail.core.cell;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.CellTimings;
import dev.wisteriarail.core.cell.CellFleet.LogMode;
import dev.wisteriarail.core.cell.CellFleet.Node;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.Execution;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decisions while the log is slow, down, or reachable by some nodes only. */
class LogOutageTest {

  private static final Duration SOON = Duration.ofSeconds(5);
  private static final Duration LONG = Duration.ofSeconds(20);

  @ParameterizedTest
  @EnumSource(
      names = {"DOWN", "APPENDS_STUCK"},
      value = LogMode.class)
  void coldStartsGoOnInAnOutageAndTheLogHoldsThemAfterwards(LogMode mode) {
    CellFleet fleet = started(true);
    setLogMode(fleet, mode);
    fleet.run(SOON);
    RequestId request = fleet.send(fleet.otherThan(fleet.controller()), "m1");
    assertThat(fleet.runUntil(SOON, () -> fleet.answered.containsKey(request))).isTrue();
    assertThat(fleet.records(RecordBody.LoadDecided.class)).isEmpty();

    fleet.run(Duration.ofMinutes(20));
    setLogMode(fleet, LogMode.UP);
    fleet.run(LONG);
    assertThat(fleet.records(RecordBody.LoadDecided.class)).hasSize(1);
    assertThat(replayLog(fleet).reservations()).hasSize(1);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @Test
  void modelsAreExchangedInAnOutage() {
    CellFleet fleet = started(false);
    setLogMode(fleet, LogMode.DOWN);
    for (int model = 1; model <= 6; model++) {
      fleet.send(fleet.node("n2"), "m" + model);
      fleet.run(LONG);
    }
    assertThat(fleet.answered).hasSize(6);
    assertThat(fleet.overcommitted()).isEqualTo(0);

    setLogMode(fleet, LogMode.UP);
    fleet.run(LONG);
    assertThat(replayLog(fleet).reservations().stream().map(Reservation::replica).toList())
        .containsExactlyElementsIn(presentReplicas(fleet));
  }

  @Test
  void outageOfOneSecondDelaysDecisionsOnly() {
    CellFleet fleet = started(true);
    setLogMode(fleet, LogMode.DOWN);
    fleet.send(fleet.node("n3"), "m1");
    fleet.run(Duration.ofSeconds(1));
    setLogMode(fleet, LogMode.UP);
    fleet.run(SOON);
    assertThat(fleet.answered).hasSize(1);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void successorInLineCountsDecisionsMadeWithoutTheLog(boolean checksFencing) {
    CellFleet fleet = started(checksFencing);
    Node old = fleet.controller();
    old.logMode = LogMode.DOWN;
    fleet.run(SOON);
    fleet.send(fleet.otherThan(old), "m1");
    fleet.run(SOON);
    assertThat(fleet.loads()).isEqualTo(1);

    old.paused = true;
    fleet.run(LONG);
    RequestId again = fleet.send(fleet.controller(), "m1");
    fleet.run(SOON);
    assertThat(fleet.answered).containsKey(again);
    assertThat(fleet.loads()).isEqualTo(1);
    assertThat(fleet.records(RecordBody.LoadAdopted.class)).hasSize(1);
    assertThat(fleet.records(RecordBody.PredecessorAbsorbed.class)).isNotEmpty();
  }

  /** Pauses the controller during a log outage while it holds back an order; returns its node. */
  private static Node pauseControllerWithHeldOrderInOutage(CellFleet fleet) {
    Node old = fleet.controller();
    setLogMode(fleet, LogMode.DOWN);
    fleet.run(SOON);
    old.holdsOrders = true;
    fleet.send(fleet.otherThan(old), "m1");
    fleet.runUntil(SOON, () -> !old.heldOrders.isEmpty());
    assertThat(old.heldOrders).isNotEmpty();
    old.paused = true;
    return old;
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void orderFormedInAnOutageFindsItsMemoryCounted(boolean checksFencing) {
    CellFleet fleet = started(checksFencing);
    final Node old = pauseControllerWithHeldOrderInOutage(fleet);
    setLogMode(fleet, LogMode.UP);
    fleet.run(LONG);
    for (int model = 2; model <= 5; model++) {
      fleet.send(fleet.controller(), "m" + model);
    }
    fleet.run(LONG);
    old.releaseOrders();
    old.resume();
    fleet.run(LONG);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    assertThat(fleet.controllers()).hasSize(1);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void successorOutsideLineTrustsNoRunnerThatIgnoresFencing(boolean checksFencing) {
    CellFleet fleet = started(checksFencing);
    final Node old = pauseControllerWithHeldOrderInOutage(fleet);
    kill(fleet, List.of("n1", "n2", "n3"), old);
    setLogMode(fleet, LogMode.UP);
    fleet.run(SOON);
    Node successor = fleet.controller();
    for (int model = 2; model <= 5; model++) {
      fleet.send(successor, "m" + model);
    }
    fleet.run(LONG);
    old.releaseOrders();
    fleet.run(LONG);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    if (checksFencing) {
      assertThat(fleet.loads()).isAtLeast(4);
    } else {
      assertThat(fleet.loads() - fleet.repeatedLoads()).isEqualTo(1);
    }
  }

  @Test
  void successorOutsideLineUsesRunnersAgainOnceTheOldControllerIsClosed() {
    CellFleet fleet = started(false);
    final Node old = fleet.controller();
    setLogMode(fleet, LogMode.DOWN);
    kill(fleet, List.of("n1", "n2", "n3"), null);
    setLogMode(fleet, LogMode.UP);
    fleet.run(SOON);
    fleet.start(old.id, 2);
    fleet.run(CellFleet.timings(CellTimings.DEFAULT).cells().orderTransit());
    fleet.run(SOON);
    RequestId request = fleet.send(fleet.node("n4"), "m1");
    fleet.run(SOON);
    assertThat(fleet.answered).containsKey(request);
  }

  @Test
  void controllerThatIsAloneInItsOutageDoesNotDecideOnceItsLineHasClaimed() {
    CellFleet fleet = started(true);
    Node old = fleet.controller();
    old.logMode = LogMode.DOWN;
    fleet.nodes.values().forEach(node -> cutBothWays(old, node));
    fleet.run(LONG);
    fleet.send(old, "m1");
    fleet.run(SOON);
    assertThat(fleet.loads()).isEqualTo(0);
    fleet.send(fleet.controllers().stream().filter(node -> node != old).findFirst().get(), "m1");
    fleet.run(SOON);
    assertThat(fleet.loads()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"true,true", "true,false", "false,false"})
  void cutBetweenGroupsForAnHourNeverMakesExtraReplicas(boolean leftReads, boolean rightReads) {
    CellFleet fleet = started(false);
    for (String left : List.of("n1", "n2")) {
      for (String right : List.of("n3", "n4", "n5")) {
        cutBothWays(fleet.node(left), fleet.node(right));
      }
      fleet.node(left).logMode = leftReads ? LogMode.UP : LogMode.DOWN;
    }
    for (String right : List.of("n3", "n4", "n5")) {
      fleet.node(right).logMode = rightReads ? LogMode.UP : LogMode.DOWN;
    }
    for (int minute = 0; minute < 60; minute += 6) {
      fleet.send(fleet.node("n1"), "m" + (1 + minute % 5));
      fleet.send(fleet.node("n4"), "m" + (1 + minute % 5));
      fleet.run(Duration.ofMinutes(6));
    }
    fleet.nodes.values().forEach(node -> node.cutFrom.clear());
    setLogMode(fleet, LogMode.UP);
    fleet.run(LONG);
    assertThat(fleet.overcommitted()).isEqualTo(0);
    assertThat(fleet.controllers()).hasSize(1);
    RequestId request = fleet.send(fleet.node("n5"), "m7");
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(request);
  }

  @Test
  void allNodesReplacedInAnOutageRefuseInTime() {
    CellFleet fleet = started(true);
    setLogMode(fleet, LogMode.DOWN);
    for (String name : List.copyOf(fleet.nodes.keySet()).stream().map(Object::toString).toList()) {
      Node old = fleet.node(name);
      old.dead = true;
      fleet.start(old.id, 2).logMode = LogMode.DOWN;
    }
    fleet.run(SOON);
    RequestId request = fleet.send(fleet.node("n1"), "m1");
    fleet.run(Duration.ofSeconds(61));
    assertThat(fleet.loads()).isEqualTo(0);
    RequestOutcome.Refused refused = (RequestOutcome.Refused) fleet.outcomes.get(request);
    assertThat(refused.refusal().execution()).isEqualTo(Execution.NOT_RUN);

    setLogMode(fleet, LogMode.UP);
    fleet.run(SOON);
    RequestId later = fleet.send(fleet.node("n1"), "m1");
    fleet.run(LONG);
    assertThat(fleet.answered).containsKey(later);
  }

  @Test
  void lineOfSuccessionFollowsTheLiveNodes() {
    CellFleet fleet = started(true);
    Successor first = replayLog(fleet).claim().orElseThrow().line().getFirst();
    fleet.nodes.get(first.node()).dead = true;
    fleet.run(SOON);
    assertThat(replayLog(fleet).claim().orElseThrow().line()).doesNotContain(first);
    assertThat(replayLog(fleet).claim().orElseThrow().line()).hasSize(2);
  }

  // Helpers

  private static CellFleet started(boolean checksFencing) {
    CellFleet fleet = CellFleet.of(5, 2, checksFencing);
    fleet.run(SOON);
    assertThat(fleet.controllers()).hasSize(1);
    assertThat(replayLog(fleet).claim().orElseThrow().line()).hasSize(2);
    return fleet;
  }

  private static void setLogMode(CellFleet fleet, LogMode mode) {
    fleet.nodes.values().forEach(node -> node.logMode = mode);
  }

  private static void kill(CellFleet fleet, List<String> names, Node except) {
    names.stream()
        .map(fleet::node)
        .filter(node -> node != except)
        .forEach(node -> node.dead = true);
  }

  private static void cutBothWays(Node left, Node right) {
    left.cutFrom.add(right.id);
    right.cutFrom.add(left.id);
  }

  private static CellState replayLog(CellFleet fleet) {
    CellState cellState = CellState.create(CellFleet.CELL);
    fleet.log.forEach(cellState::apply);
    return cellState;
  }

  private static List<ReplicaId> presentReplicas(CellFleet fleet) {
    return fleet.engines.values().stream()
        .flatMap(engine -> engine.replicas.keySet().stream())
        .toList();
  }
}
