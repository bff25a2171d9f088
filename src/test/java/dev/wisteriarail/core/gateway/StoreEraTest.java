package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a node whose store is restored from an older copy. */
class StoreEraTest {

  private final CoreHarness node = CoreHarness.ready();

  private void readConfiguration(StoreRead call, long version, LogPosition next) {
    node.handle(
        new GatewayEvent.StoreReadCompleted(
            call,
            new StoreAnswer.ConfigurationRead(
                version == 0 ? Optional.empty() : Optional.of(CoreHarness.configuration(version)),
                next)));
  }

  private List<StoreRead> readsDuring(Duration time) {
    node.take(GatewayEffect.class);
    node.pass(time);
    return node.take(GatewayEffect.ReadStore.class).stream()
        .map(GatewayEffect.ReadStore::call)
        .toList();
  }

  private static StoreRead.NextConfiguration next(long era, long offset) {
    return new StoreRead.NextConfiguration(LogPosition.of(era, offset), Duration.ofSeconds(1));
  }

  /** The read spans the change of the era, so the records before its end were never read. */
  @Test
  void configurationIsReadAnewThoughTheLogPassedItsOldEnd() {
    readConfiguration(next(0, 1), 0, LogPosition.of(1, 4));
    assertThat(readsDuring(Duration.ofSeconds(2)))
        .containsAtLeast(new StoreRead.NewestConfiguration(), new StoreRead.WholeDirectory());
  }

  @Test
  void versionNeverGoesBackToThatOfTheCopy() {
    readConfiguration(next(0, 1), 9, LogPosition.of(0, 2));
    readConfiguration(new StoreRead.NewestConfiguration(), 4, LogPosition.of(1, 1));
    node.take(GatewayEffect.class);
    readConfiguration(next(1, 1), 9, LogPosition.of(1, 2));
    assertThat(node.take(GatewayEffect.ApplyBounds.class)).isEmpty();
    readConfiguration(next(1, 2), 10, LogPosition.of(1, 3));
    assertThat(node.take(GatewayEffect.ApplyBounds.class)).hasSize(1);
  }

  /** A delayed result from an earlier era does not describe the current store. */
  @Test
  void answerOfAnEarlierEraIsIgnored() {
    readConfiguration(next(0, 1), 0, LogPosition.of(1, 1));
    node.take(GatewayEffect.class);
    node.handle(
        new GatewayEvent.StoreReadCompleted(
            new StoreRead.DirectoryChanges(LogPosition.of(0, 5)),
            new StoreAnswer.DirectoryRead(
                new DirectoryChange(
                    false,
                    LogPosition.of(0, 5),
                    LogPosition.of(0, 6),
                    List.of(CoreHarness.runner("e1", CoreHarness.ENGINES, true)),
                    List.of()))));
    boolean drained =
        node.take(GatewayEffect.LogEvent.class).stream()
            .anyMatch(emit -> emit.event().code() == EventCode.RUNNER_DRAINING);
    assertThat(drained).isFalse();
  }

  /** The node does not reach the store and learns of the era from a peer. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void eraIsReceivedFromPeers(boolean ofHolder) {
    LogPosition position = LogPosition.of(2, 7);
    PeerStatus status =
        new PeerStatus(
            0,
            0,
            0,
            ofHolder ? position : LogPosition.NONE,
            true,
            true,
            false,
            1,
            ofHolder ? LogPosition.of(0, 5) : position,
            LogPosition.of(0, 5),
            0,
            Optional.empty());
    NodeAddress address =
        new NodeAddress(NodeId.of("n2"), Incarnation.of(1), "10.0.0.2", 7000, 1000, 0);
    node.take(GatewayEffect.class);
    node.handle(
        new GatewayEvent.PeerMessageReceived(
            NodeId.of("n2"),
            Incarnation.of(1),
            FleetMessage.Beat.of(address, List.of(), status, List.of())));
    long changes =
        node.take(GatewayEffect.LogEvent.class).stream()
            .filter(emit -> emit.event().code() == EventCode.STORE_ERA_CHANGED)
            .count();
    assertThat(changes).isEqualTo(1);
  }

  @Test
  void nodeWritesItsAddressAgain() {
    node.handle(new GatewayEvent.RegistrationCompleted(true));
    node.take(GatewayEffect.class);
    node.pass(Duration.ofSeconds(2));
    assertThat(node.take(GatewayEffect.RegisterNode.class)).isEmpty();
    readConfiguration(next(0, 1), 0, LogPosition.of(1, 1));
    node.pass(Duration.ofSeconds(2));
    assertThat(node.take(GatewayEffect.RegisterNode.class)).hasSize(1);
  }

  /**
   * Of two nodes that register again together, the one that reads after both discovers the other.
   */
  @Test
  void nodeReadsOtherAddressesOnceAfterItWroteItsOwnAgain() {
    node.receiveCoordinatorHeartbeat("n2");
    node.handle(new GatewayEvent.RegistrationCompleted(true));
    node.handle(
        new GatewayEvent.StoreReadCompleted(
            new StoreRead.Nodes(), new StoreAnswer.NodesRead(List.of(), 0)));
    assertThat(readsDuring(Duration.ofMillis(600))).doesNotContain(new StoreRead.Nodes());
    node.receiveCoordinatorHeartbeat("n2");
    node.take(GatewayEffect.class);
    readConfiguration(next(0, 1), 0, LogPosition.of(1, 1));
    assertThat(readsDuring(Duration.ofMillis(600))).doesNotContain(new StoreRead.Nodes());
    node.receiveCoordinatorHeartbeat("n2");
    node.handle(new GatewayEvent.RegistrationCompleted(true));
    List<StoreRead> reads =
        node.take(GatewayEffect.ReadStore.class).stream()
            .map(GatewayEffect.ReadStore::call)
            .toList();
    assertThat(reads).contains(new StoreRead.Nodes());
  }

  @Test
  void firstEraThatIsReceivedIsNoChange() {
    CoreHarness started = CoreHarness.unready();
    started.handle(
        new GatewayEvent.StoreReadCompleted(
            new StoreRead.NewestConfiguration(),
            new StoreAnswer.ConfigurationRead(
                Optional.of(CoreHarness.configuration(1)), LogPosition.of(3, 1))));
    boolean logged =
        started.take(GatewayEffect.LogEvent.class).stream()
            .anyMatch(emit -> emit.event().code() == EventCode.STORE_ERA_CHANGED);
    assertThat(logged).isFalse();
  }
}
