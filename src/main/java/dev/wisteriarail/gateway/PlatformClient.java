package dev.wisteriarail.gateway;

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
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Asynchronous client for the platform's store and for the control calls to runners.
 *
 * <p>Methods do not block; each invokes its callback exactly once. Implementations are thread-safe.
 */
public interface PlatformClient {

  /** Reads from the store. */
  void readStore(StoreRead call, Consumer<StoreAnswer> callback);

  /** Reads or appends records of the order lease. */
  void callLease(LeaseCall call, Consumer<LeaseAnswer> callback);

  /** Writes a node's address to the store; the callback receives whether it was written. */
  void registerNode(NodeAddress address, Consumer<Boolean> callback);

  /** Writes a refusal to the store; the callback receives whether it was written. */
  void saveRefusal(CrashRefusal refusal, Consumer<Boolean> callback);

  /**
   * Sends an order to a runner.
   *
   * @param notifications receives the notifications in the runner's response, before the callback
   * @param callback receives the outcome and a description of the response or failure
   */
  void sendOrder(
      GatewayEffect.SendOrder order,
      Consumer<RunnerNotification> notifications,
      BiConsumer<FleetOrderOutcome, String> callback);

  /**
   * Requests a report from a runner.
   *
   * @param notifications receives the notifications in the runner's response, before the callback
   * @param callback receives the report; empty if the runner sent no valid one
   */
  void requestReport(
      RunnerEntry runner,
      Consumer<RunnerNotification> notifications,
      Consumer<Optional<RunnerReport>> callback);
}
