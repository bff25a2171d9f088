package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Heartbeats of fleets of several sizes, in virtual time. */
final class PeerTableTest {

  private static final Duration SILENCE = Duration.ofMillis(900);
  private static final Duration BEAT = Duration.ofMillis(300);
  private static final int FAST_LINKS = 8;

  private final List<NodeAddress> addresses = new ArrayList<>();
  private final List<PeerTable> tables = new ArrayList<>();
  private final Set<Integer> down = new HashSet<>();
  private Instant now = Instant.EPOCH.plusSeconds(1_000);
  private int sent;

  private void start(int nodes) {
    for (int i = 0; i < nodes; i++) {
      addresses.add(
          new NodeAddress(
              NodeId.of("n" + (nodes - i)),
              Incarnation.of(1),
              "10.0.0." + i,
              7000,
              i < FAST_LINKS ? 200 : 10));
    }
    for (NodeAddress address : addresses) {
      PeerTable table = PeerTable.create(address, SILENCE);
      addresses.forEach(other -> table.learn(other, now));
      tables.add(table);
    }
  }

  private void rounds(int count) {
    for (int round = 0; round < count; round++) {
      sent = 0;
      for (int node = 0; node < tables.size(); node++) {
        if (!down.contains(node)) {
          beat(node);
        }
      }
      now = now.plusMillis(Math.round(BEAT.toMillis() * tables.getFirst().pace()));
    }
  }

  private void beat(int node) {
    PeerStatus status =
        new PeerStatus(0, -1, true, false, 1, 1, 1, tables.get(node).live(now).size() + 1, 0);
    for (NodeAddress target : tables.get(node).beatTargets(false, now)) {
      sent++;
      int to = addresses.indexOf(target);
      if (!down.contains(to)) {
        tables.get(to).heard(addresses.get(node), status, now);
      }
    }
  }

  private boolean allKnowTheFleet() {
    int alive = tables.size() - down.size();
    for (int node = 0; node < tables.size(); node++) {
      if (!down.contains(node) && tables.get(node).liveNodes(now) != alive) {
        return false;
      }
    }
    return true;
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 9, 20, 64, 300})
  void everyNodeKnowsHowManyLive(int nodes) {
    start(nodes);
    rounds(5);
    assertThat(allKnowTheFleet()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {64, 300})
  void aLargeFleetSendsAFewHeartbeatsForEachNode(int nodes) {
    start(nodes);
    rounds(5);
    assertThat(sent).isAtMost(10 * nodes);
  }

  @Test
  void theFastestLinksHearAllOthers() {
    start(64);
    rounds(5);
    long hearAll = tables.stream().filter(table -> table.live(now).size() == 63).count();
    assertThat(hearAll).isEqualTo(4);
    assertThat(tables.get(FAST_LINKS).live(now).size()).isLessThan(10);
  }

  @Test
  void otherNodesTakeThePlaceOfHubsThatAreLost() {
    start(64);
    rounds(5);
    for (int node = 0; node < FAST_LINKS; node++) {
      down.add(node);
    }
    rounds(20);
    assertThat(allKnowTheFleet()).isTrue();
    down.clear();
    rounds(20);
    assertThat(allKnowTheFleet()).isTrue();
    assertThat(sent).isAtMost(10 * 64);
  }

  @Test
  void nodesThatHeardNobodyForLongFindTheOthersAgain() {
    start(64);
    for (int node = 0; node < 60; node++) {
      down.add(node);
    }
    rounds(40);
    down.clear();
    rounds(40);
    assertThat(allKnowTheFleet()).isTrue();
  }
}
