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
  void read(StoreRead call, Consumer<StoreAnswer> told);

  /** Makes a call for the lease on orders. */
  void lease(LeaseCall call, Consumer<LeaseAnswer> told);

  /** Writes a node's address; tells whether it was done. */
  void register(NodeAddress address, Consumer<Boolean> told);

  /**
   * Gives an order to a runner; tells the outcome and what the runner said.
   *
   * @param words told before the outcome what the runner says of itself
   */
  void order(
      GatewayEffect.SendOrder order,
      Consumer<RunnerNotification> words,
      BiConsumer<FleetOrderOutcome, String> told);

  /**
   * Asks a runner for a report; tells nothing if there is none.
   *
   * @param words told before the report what the runner says of itself
   */
  void report(
      RunnerEntry runner,
      Consumer<RunnerNotification> words,
      Consumer<Optional<RunnerReport>> told);
}
