package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.CallerBounds;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;

/** A side effect that {@link GatewayCore} requests from the runtime. */
public sealed interface GatewayEffect {

  // Callers

  /**
   * Responds to a request that no runner executed, or whose outcome is unknown.
   *
   * @param exchange the request
   * @param code the result code
   * @param retryAfter when the caller should retry; empty if a retry makes no sense
   */
  record Refuse(long exchange, ResultCode code, Optional<Duration> retryAfter)
      implements GatewayEffect {}

  /**
   * Relays the response to an attempt that the adapter holds.
   *
   * @param exchange the request
   * @param attempt the attempt
   */
  record RelayAnswer(long exchange, int attempt) implements GatewayEffect {}

  /**
   * Aborts a response that was started, so that it does not appear complete to the caller.
   *
   * @param exchange the request
   */
  record AbortAnswer(long exchange) implements GatewayEffect {}

  // Runners

  /**
   * Sends a request to a runner. The result is returned as {@link GatewayEvent.AttemptUpdated}.
   *
   * @param exchange the request
   * @param attempt number of the attempt
   * @param runner the runner
   * @param timeLeft time for which the runner may work on the request
   * @param rank urgency of the request; 0 is the most urgent
   * @param streaming whether the response is a stream of events
   * @param repeatable whether the request may be executed again
   * @param identity what the runner learns about the caller
   */
  record SendAttempt(
      long exchange,
      int attempt,
      RunnerEntry runner,
      Duration timeLeft,
      int rank,
      boolean streaming,
      boolean repeatable,
      CallerIdentity identity)
      implements GatewayEffect {}

  /**
   * Cancels an attempt and closes its connection, so that the runner stops working on it.
   *
   * @param exchange the request
   * @param attempt the attempt
   */
  record CancelAttempt(long exchange, int attempt) implements GatewayEffect {}

  /**
   * Sends an order to a runner. The outcome is returned as {@link GatewayEvent.OrderCompleted}.
   *
   * @param runner the runner
   * @param order the order
   * @param holder identifier of the node that holds the order lease
   * @param fence the fencing number
   * @param timeout time after which the order is given up, so that it cannot reach the runner later
   */
  record SendOrder(
      RunnerEntry runner, NumberedOrder order, String holder, long fence, Duration timeout)
      implements GatewayEffect {}

  /**
   * Requests a report from a runner. It is returned as {@link GatewayEvent.ReportReceived}.
   *
   * @param runner the runner
   */
  record RequestReport(RunnerEntry runner) implements GatewayEffect {}

  // Platform and peers

  /**
   * Reads from the platform's store. The result is returned as {@link
   * GatewayEvent.StoreReadCompleted}.
   *
   * @param call what to read
   */
  record ReadStore(StoreRead call) implements GatewayEffect {}

  /**
   * Makes a call to the log of the order lease. The result is returned as {@link
   * GatewayEvent.LeaseCallCompleted}.
   *
   * @param call the call
   */
  record CallLease(LeaseCall call) implements GatewayEffect {}

  /**
   * Writes this node's address to the store. The result is returned as {@link
   * GatewayEvent.RegistrationCompleted}.
   *
   * @param address the address
   */
  record RegisterNode(NodeAddress address) implements GatewayEffect {}

  /**
   * Writes to the store which requests are refused because they crash runners. The result is
   * returned as {@link GatewayEvent.RefusalSaved}.
   *
   * @param refusal the refusal
   */
  record SaveRefusal(CrashRefusal refusal) implements GatewayEffect {}

  /**
   * Sends a message to a peer; the message may be lost.
   *
   * @param to the peer
   * @param message the message
   */
  record SendPeer(NodeAddress to, FleetMessage message) implements GatewayEffect {}

  /**
   * Encodes and decodes a message once without sending it, so that the first message of its type
   * that is sent or received later takes no longer than the others.
   *
   * @param message the message
   */
  record WarmUpCodec(FleetMessage message) implements GatewayEffect {}

  // Node

  /**
   * Writes an event with an event code to the log.
   *
   * @param event the event
   */
  record LogEvent(NodeEvent event) implements GatewayEffect {}

  /**
   * Reports how many requests wait for a runner.
   *
   * @param byRank number of requests by rank
   * @param byTenant number of requests by the tenant's name
   */
  record QueueMeasured(Map<Integer, Integer> byRank, Map<String, Integer> byTenant)
      implements GatewayEffect {

    /** Copies the maps. */
    public QueueMeasured {
      byRank = Map.copyOf(byRank);
      byTenant = Map.copyOf(byTenant);
    }
  }

  /**
   * Sets the readiness that the load balancer sees.
   *
   * @param ready whether it may send callers to this node
   */
  record SetReady(boolean ready) implements GatewayEffect {}

  /**
   * Applies limits to what callers may send.
   *
   * @param bounds the limits
   */
  record ApplyBounds(CallerBounds bounds) implements GatewayEffect {}

  /** Closes idle connections of callers now, and the others after their current response. */
  record CloseIdleCallers() implements GatewayEffect {}

  /** Reports that no request is in flight any more, so that the process may exit. */
  record DrainCompleted() implements GatewayEffect {}
}
