package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.gateway.PlatformClient;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests that an exception in one call of a gateway node does not affect others. */
final class RuntimeFaultTest {

  /**
   * Guards against an exception in one effect dropping the other effects of the same event and the
   * other events of the same batch.
   */
  @Test
  void faultInOneCallStopsNothingElse() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 1, FaultyClient::new)) {
      assertThat(fleet.send(0, "GET", "/lookup/1", "").statusCode()).isEqualTo(200);
    }
  }

  /** Throws when the node registers, which happens while it becomes ready. */
  private record FaultyClient(PlatformClient delegate) implements PlatformClient {

    @Override
    public void readStore(StoreRead call, Consumer<StoreAnswer> callback) {
      delegate.readStore(call, callback);
    }

    @Override
    public void callLease(LeaseCall call, Consumer<LeaseAnswer> callback) {
      delegate.callLease(call, callback);
    }

    @Override
    public void registerNode(NodeAddress address, Consumer<Boolean> callback) {
      throw new IllegalStateException("a deliberate fault");
    }

    @Override
    public void saveRefusal(CrashRefusal refusal, Consumer<Boolean> callback) {
      delegate.saveRefusal(refusal, callback);
    }

    @Override
    public void sendOrder(
        GatewayEffect.SendOrder order,
        Consumer<RunnerNotification> notifications,
        BiConsumer<FleetOrderOutcome, String> callback) {
      delegate.sendOrder(order, notifications, callback);
    }

    @Override
    public void requestReport(
        RunnerEntry runner,
        Consumer<RunnerNotification> notifications,
        Consumer<Optional<RunnerReport>> callback) {
      delegate.requestReport(runner, notifications, callback);
    }
  }
}
