package dev.wisteriarail.core.membership;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {

  private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

  /** Suspicion timeout, plus one heartbeat interval, plus the delivery of the suspicion. */
  private static final Duration DETECTION_TIME = Duration.ofMillis(1_200 + 300 + 100);

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60, 330})
  void deathIsNoticedByAllAfterTheSameSilence(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    NodeId dead = fleet.nodes().get(size / 2);
    assertThat(fleet.countNodesSeeingLive(dead)).isEqualTo(size - 1);
    fleet.stop(dead);
    fleet.run(DETECTION_TIME);
    assertThat(fleet.countNodesSeeingLive(dead)).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void nodeThatWasPausedIsLiveAgainSoon(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    NodeId paused = fleet.nodes().get(1);
    fleet.stop(paused);
    fleet.run(Duration.ofSeconds(5));
    fleet.resume(paused);
    fleet.run(SETTLE_TIME);
    assertThat(fleet.countNodesSeeingLive(paused)).isEqualTo(size - 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 330})
  void lossOfWholeFailureDomainIsNoticed(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    List<NodeId> dead = everySeventh(fleet);
    dead.forEach(fleet::stop);
    fleet.run(DETECTION_TIME.multipliedBy(4));
    dead.forEach(node -> assertThat(fleet.countNodesSeeingLive(node)).isEqualTo(0));
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void lossOfMessagesLeavesLiveNodesLive(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.setLossRate(0.05);
    fleet.run(Duration.ofSeconds(20));
    fleet.setLossRate(0);
    fleet.run(SETTLE_TIME);
    fleet.nodes().forEach(node -> assertThat(fleet.countNodesSeeingLive(node)).isEqualTo(size - 1));
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void newRunLearnsWhoIsDeadAndIsKnownByItsIncarnation(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    NodeId dead = fleet.nodes().get(2);
    NodeId restarted = fleet.nodes().get(4);
    fleet.stop(dead);
    fleet.run(SETTLE_TIME);
    fleet.start(restarted);
    fleet.run(SETTLE_TIME);
    assertThat(fleet.member(restarted).isLive(dead, fleet.now())).isFalse();
    for (NodeId node : fleet.nodes()) {
      if (!node.equals(dead) && !node.equals(restarted)) {
        assertThat(fleet.member(node).incarnation(restarted)).hasValue(Incarnation.of(2));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void leavingNodeRanksBehindOthersAlsoAfterOlderReading(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    NodeId first = fleet.nodes().get(0);
    NodeId second = fleet.nodes().get(1);
    assertThat(fleet.member(second).rank(fleet.now())).isEqualTo(1);
    fleet.markLeaving(first, true);
    assertThat(fleet.member(second).rank(fleet.now())).isEqualTo(0);
    fleet.markLeaving(first, false);
    assertThat(fleet.member(second).isLeaving(first)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 330})
  void heartbeatsOfNodeDoNotGrowWithTheFleet(int size) {
    MembershipSimulation fleet = new MembershipSimulation(size);
    fleet.run(SETTLE_TIME);
    fleet.drainSent();
    fleet.run(Duration.ofSeconds(30));
    double messagesPerNodeAndRound = (double) fleet.drainSent().size() / size / 100;
    assertThat(messagesPerNodeAndRound).isAtMost(3.0);
  }

  private static List<NodeId> everySeventh(MembershipSimulation fleet) {
    List<NodeId> nodes = fleet.nodes();
    return nodes.stream().filter(node -> nodes.indexOf(node) % 7 == 0).toList();
  }
}
