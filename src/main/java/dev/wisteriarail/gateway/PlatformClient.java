package dev.wisteriarail.gateway;

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
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The calls that a gateway makes to the platform's store and, for control, to runners.
 *
 * <p>Calls do not block; each tells its end exactly once. Implementations are thread-safe.
 */
public interface PlatformClient {

  /** Reads the store. */
  void readStore(StoreRead call, Consumer<StoreAnswer> callback);

  /** Makes a call for the lease on orders. */
  void callLease(LeaseCall call, Consumer<LeaseAnswer> callback);

  /** Writes a node's address; tells whether it was done. */
  void registerNode(NodeAddress address, Consumer<Boolean> callback);

  /**
   * Gives an order to a runner; tells the outcome and what the runner said.
   *
   * @param notifications told before the outcome what the runner says of itself
   */
  void sendOrder(
      GatewayEffect.SendOrder order,
      Consumer<RunnerNotification> notifications,
      BiConsumer<FleetOrderOutcome, String> callback);

  /**
   * Asks a runner for a report; tells nothing if there is none.
   *
   * @param notifications told before the report what the runner says of itself
   */
  void requestReport(
      RunnerEntry runner,
      Consumer<RunnerNotification> notifications,
      Consumer<Optional<RunnerReport>> callback);
}
