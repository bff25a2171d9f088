package dev.wisteriarail.core.state;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class PeerCatchUpTest {

  /** Time within which a change has to be in force on all nodes. */
  private static final Duration LIMIT = Duration.ofSeconds(10);

  private static final NodeId N1 = NodeId.of("n1");
  private static final NodeId N2 = NodeId.of("n2");

  @Test
  void nodeWithoutLogGetsRevisionsFromPeers() {
    CoreFleet fleet = new CoreFleet(3);
    fleet.withoutLog.add(N2);
    publish(fleet, 0, 1);
    fleet.run(LIMIT);
    assertThat(revision(fleet, N2)).isEqualTo(1);
    publish(fleet, 1, 2);
    fleet.run(LIMIT);
    assertThat(revision(fleet, N2)).isEqualTo(2);
    assertThat(fleet.core(N2).configuration()).isEqualTo(fleet.core(N1).configuration());
  }

  @Test
  void newNodeInOutageStartsFromPeerAndDecidesNothing() {
    CoreFleet fleet = new CoreFleet(3);
    publish(fleet, 0, 1);
    fleet.run(LIMIT);
    fleet.withoutLog.addAll(fleet.nodes());
    fleet.restart(N1);
    final int before = fleet.log.size();
    fleet.run(LIMIT);
    assertThat(fleet.core(N1).isReady()).isTrue();
    assertThat(fleet.core(N1).configuration()).isEqualTo(fleet.core(N2).configuration());
    assertThat(fleet.core(N1).isController()).isFalse();
    assertThat(fleet.log.size()).isEqualTo(before);
  }

  @Test
  void rejectedChangeStaysRejectedOnNodeThatGotItsRevisionFromPeers() {
    CoreFleet fleet = new CoreFleet(2);
    publish(fleet, 0, 1);
    fleet.run(LIMIT);
    fleet.withoutLog.add(N2);
    publish(fleet, 0, 7);
    publish(fleet, 1, 2);
    fleet.run(LIMIT);
    fleet.withoutLog.clear();
    fleet.run(LIMIT);
    assertThat(revision(fleet, N2)).isEqualTo(2);
    assertThat(fleet.core(N2).configuration()).isEqualTo(fleet.core(N1).configuration());
  }

  /**
   * Reordered, repeated and lost messages, nodes cut off from the log, retention and restarts in
   * random order.
   */
  @Property(tries = 150, seed = "20261205")
  void acceptedRevisionsNeverRevertAndMeanTheSameEverywhere(
      @ForAll @Size(min = 10, max = 150) List<@IntRange(max = 12) Integer> actions,
      @ForAll long seed) {
    Random random = new Random(seed);
    CoreFleet fleet = new CoreFleet(4);
    Map<Revision, Configuration> contents = new HashMap<>();
    for (int action : actions) {
      NodeId node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
      act(fleet, node, action, random);
      fleet.nodes().forEach(each -> checkContent(fleet, each, contents));
    }
    fleet.withoutLog.clear();
    fleet.run(LIMIT);
    for (NodeId node : fleet.nodes()) {
      assertThat(fleet.core(node).configuration()).isEqualTo(fleet.core(N1).configuration());
    }
  }

  private static void act(CoreFleet fleet, NodeId node, int action, Random random) {
    Revision before = fleet.core(node).configuration().revision();
    switch (action) {
      case 0, 1 -> publish(fleet, random.nextInt((int) before.value() + 2), random.nextInt(9) + 1);
      case 2, 3 -> fleet.read(node, 1 + random.nextInt(4));
      case 4 -> {
        fleet.now = fleet.now.plusMillis(400);
        fleet.nodes().forEach(each -> fleet.feed(each, new Event.TimerFired()));
      }
      case 5 -> fleet.withoutLog.add(node);
      case 6 -> fleet.withoutLog.remove(node);
      case 7 -> {
        fleet.restart(node);
        return;
      }
      case 8 -> fleet.log.dropTo(fleet.log.size() - random.nextInt(12));
      case 9 -> fleet.network.removeIf(message -> random.nextInt(4) == 0);
      default -> {
        for (int i = 0; i < 8 && !fleet.network.isEmpty(); i++) {
          int index = random.nextInt(fleet.network.size());
          if (random.nextInt(5) == 0) {
            fleet.deliverCopy(index);
          } else {
            fleet.deliver(index);
          }
        }
      }
    }
    assertThat(fleet.core(node).configuration().revision()).isAtLeast(before);
  }

  private static void checkContent(
      CoreFleet fleet, NodeId node, Map<Revision, Configuration> contents) {
    Configuration held = fleet.core(node).configuration();
    Configuration known = contents.putIfAbsent(held.revision(), held);
    if (known != null) {
      assertThat(held).isEqualTo(known);
    }
  }

  private static void publish(CoreFleet fleet, long basedOn, int weight) {
    RecordBody change = InMemoryLog.change(basedOn, "s", weight);
    fleet.log.append("p" + fleet.log.size(), change);
  }

  private static long revision(CoreFleet fleet, NodeId node) {
    return fleet.core(node).configuration().revision().value();
  }
}
