package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.gateway.PlatformClient;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** A fault inside one call of a gateway node. */
final class RuntimeFaultTest {

  /** The fault dropped the other effects of its event, and the events that came with it. */
  @Test
  void faultInOneCallStopsNothingElse() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 1, FaultyClient::new)) {
      assertThat(fleet.send(0, "GET", "/lookup/1", "").statusCode()).isEqualTo(200);
    }
  }

  /** Fails when the node registers, which happens beside its becoming ready. */
  private record FaultyClient(PlatformClient sound) implements PlatformClient {

    @Override
    public void read(StoreRead call, Consumer<StoreAnswer> told) {
      sound.read(call, told);
    }

    @Override
    public void lease(LeaseCall call, Consumer<LeaseAnswer> told) {
      sound.lease(call, told);
    }

    @Override
    public void register(NodeAddress address, Consumer<Boolean> told) {
      throw new IllegalStateException("a deliberate fault");
    }

    @Override
    public void order(
        GatewayEffect.SendOrder order,
        Consumer<RunnerNotification> words,
        BiConsumer<FleetOrderOutcome, String> told) {
      sound.order(order, words, told);
    }

    @Override
    public void report(
        RunnerEntry runner,
        Consumer<RunnerNotification> words,
        Consumer<Optional<RunnerReport>> told) {
      sound.report(runner, words, told);
    }
  }
}
