package dev.wisteriarail.core.membership;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {

  private static final Duration SETTLE = Duration.ofSeconds(3);

  /** The silence, one round of heartbeats and the way of the word. */
  private static final Duration NOTICE = Duration.ofMillis(1_200 + 300 + 100);

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60, 330})
  void deathIsNoticedByAllAfterTheSameSilence(int size) {
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
    NodeId dead = fleet.nodes().get(size / 2);
    assertThat(fleet.countBelievers(dead)).isEqualTo(size - 1);
    fleet.stop(dead);
    fleet.run(NOTICE);
    assertThat(fleet.countBelievers(dead)).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void nodeThatWasPausedIsLiveAgainSoon(int size) {
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
    NodeId paused = fleet.nodes().get(1);
    fleet.stop(paused);
    fleet.run(Duration.ofSeconds(5));
    fleet.resume(paused);
    fleet.run(SETTLE);
    assertThat(fleet.countBelievers(paused)).isEqualTo(size - 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {60, 330})
  void lossOfWholeFailureDomainIsNoticed(int size) {
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
    List<NodeId> dead = everySeventh(fleet);
    dead.forEach(fleet::stop);
    fleet.run(NOTICE.multipliedBy(4));
    dead.forEach(node -> assertThat(fleet.countBelievers(node)).isEqualTo(0));
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void lossOfMessagesLeavesLiveNodesLive(int size) {
    MemberFleet fleet = new MemberFleet(size);
    fleet.loseShare(0.05);
    fleet.run(Duration.ofSeconds(20));
    fleet.loseShare(0);
    fleet.run(SETTLE);
    fleet.nodes().forEach(node -> assertThat(fleet.countBelievers(node)).isEqualTo(size - 1));
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 9, 60})
  void newRunLearnsWhoIsDeadAndIsKnownByItsIncarnation(int size) {
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
    NodeId dead = fleet.nodes().get(2);
    NodeId restarted = fleet.nodes().get(4);
    fleet.stop(dead);
    fleet.run(SETTLE);
    fleet.start(restarted);
    fleet.run(SETTLE);
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
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
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
    MemberFleet fleet = new MemberFleet(size);
    fleet.run(SETTLE);
    fleet.takeSent();
    fleet.run(Duration.ofSeconds(30));
    double messagesPerNodeAndRound = (double) fleet.takeSent().size() / size / 100;
    assertThat(messagesPerNodeAndRound).isAtMost(3.0);
  }

  private static List<NodeId> everySeventh(MemberFleet fleet) {
    List<NodeId> nodes = fleet.nodes();
    return nodes.stream().filter(node -> nodes.indexOf(node) % 7 == 0).toList();
  }
}
