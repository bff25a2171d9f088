package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.route.CallerBounds;
import java.time.Duration;
import java.util.Optional;

/** Something that a gateway's core wants done. */
public sealed interface GatewayEffect {

  // Callers

  /**
   * Answers a request that no runner ran, or whose outcome is not known.
   *
   * @param exchange the request
   * @param code why
   * @param retryAfter when the caller should come back, if that makes sense
   */
  record Refuse(long exchange, ResultCode code, Optional<Duration> retryAfter)
      implements GatewayEffect {}

  /**
   * Passes on the answer that the adapter holds of an attempt.
   *
   * @param exchange the request
   * @param attempt the attempt
   */
  record RelayAnswer(long exchange, int attempt) implements GatewayEffect {}

  /**
   * Ends an answer that was begun so that it does not look complete.
   *
   * @param exchange the request
   */
  record AbortAnswer(long exchange) implements GatewayEffect {}

  // Runners

  /**
   * Hands a request to a runner. The core is told what became of it.
   *
   * @param exchange the request
   * @param attempt number of the attempt
   * @param runner the runner
   * @param timeLeft time that the caller still waits
   * @param rank urgency of the route; 0 is the most urgent
   * @param streaming whether the answer is a series of events
   * @param repeatable whether the request may run again
   */
  record SendAttempt(
      long exchange,
      int attempt,
      RunnerEntry runner,
      Duration timeLeft,
      int rank,
      boolean streaming,
      boolean repeatable)
      implements GatewayEffect {}

  /**
   * Gives up an attempt and closes its connection, so that the runner stops work on it.
   *
   * @param exchange the request
   * @param attempt the attempt
   */
  record CancelAttempt(long exchange, int attempt) implements GatewayEffect {}

  /**
   * Sends an order to a runner. The core is told of the outcome.
   *
   * @param runner the runner
   * @param order the order
   * @param holder the node's name
   * @param fence the fencing number
   */
  record SendOrder(RunnerEntry runner, NumberedOrder order, String holder, long fence)
      implements GatewayEffect {}

  /**
   * Asks a runner for a report.
   *
   * @param runner the runner
   */
  record RequestReport(RunnerEntry runner) implements GatewayEffect {}

  // Platform and peers

  /**
   * Reads the store.
   *
   * @param call what to read
   */
  record ReadStore(StoreRead call) implements GatewayEffect {}

  /**
   * Makes a call for the lease on orders.
   *
   * @param call the call
   */
  record CallLease(LeaseCall call) implements GatewayEffect {}

  /**
   * Writes this node's address into the store.
   *
   * @param address the address
   */
  record RegisterNode(NodeAddress address) implements GatewayEffect {}

  /**
   * Sends a message to a peer; it may be lost.
   *
   * @param to the peer
   * @param message the message
   */
  record SendPeer(NodeAddress to, FleetMessage message) implements GatewayEffect {}

  /**
   * Encodes and decodes a message once without sending it, so that the first one of its kind that
   * is sent or received later takes no longer than the others.
   *
   * @param message the message
   */
  record WarmUpCodec(FleetMessage message) implements GatewayEffect {}

  // Node

  /**
   * Writes a numbered event to the log.
   *
   * @param event the event
   */
  record LogEvent(NodeEvent event) implements GatewayEffect {}

  /** Says whether the balancer may send callers. */
  record SetReady(boolean ready) implements GatewayEffect {}

  /**
   * Bounds what callers may send.
   *
   * @param bounds the bounds
   */
  record ApplyBounds(CallerBounds bounds) implements GatewayEffect {}

  /** Closes idle connections of callers, and every other one after its present answer. */
  record CloseIdleCallers() implements GatewayEffect {}

  /** Nothing is in flight any more: the process may end. */
  record DrainCompleted() implements GatewayEffect {}
}
