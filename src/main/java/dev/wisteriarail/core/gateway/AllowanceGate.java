package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.tenant.AllowanceReserve;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Refuses requests that exceed the allowance of their tenant.
 *
 * <p>A request that exceeds this node's share may be within the allowance of all nodes. The gate
 * asks the coordinator, and the request waits for the answer.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AllowanceGate {

  /** Maximum time for which a request waits for the coordinator's answer. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(400);

  /** Time after which a question is repeated. */
  private static final Duration REPEAT_INTERVAL = Duration.ofMillis(100);

  /** Time for which nothing is asked after a question was not answered. */
  private static final Duration SILENCE_PAUSE = Duration.ofSeconds(1);

  /** Longest time for which a refusal by the coordinator decides about further requests. */
  private static final Duration MAX_REFUSAL_MEMORY = Duration.ofMillis(100);

  private final TenantAllowances allowances;
  private final Coordinator coordinator;
  private final Map<String, Refusal> refusals = new HashMap<>();
  private Instant silentUntil = Instant.MIN;

  private AllowanceGate(TenantAllowances allowances, Coordinator coordinator) {
    this.allowances = allowances;
    this.coordinator = coordinator;
  }

  static AllowanceGate create(TenantAllowances allowances, Coordinator coordinator) {
    return new AllowanceGate(allowances, coordinator);
  }

  /** Gives what this node's share does not hold. */
  interface Coordinator {

    /** Returns the decision if this node is the coordinator. */
    Optional<AllowanceReserve.Decision> take(FleetMessage.AllowanceAsked question, Instant now);

    /** Sends a question to the coordinator; returns whether one is known. */
    boolean ask(FleetMessage.AllowanceAsked question, GatewayStep step);
  }

  /** What becomes of a request. */
  enum Outcome {
    ADMITTED,
    /** The request was refused; the caller has its answer. */
    REFUSED,
    /** The request waits for {@link #accept} or {@link #timedOut}. */
    ASKED
  }

  /** Takes the cost of a request from the allowance, asks for it, or refuses the request. */
  Outcome admit(PendingForward forward, GatewayStep step) {
    Optional<TenantSpec> tenant = forward.tenant();
    if (tenant.isEmpty()) {
      return Outcome.ADMITTED;
    }
    if (allowances.tryAcquire(tenant.get(), forward.cost(), step.now())) {
      forward.markCostTaken();
      return Outcome.ADMITTED;
    }
    String name = tenant.get().name();
    FleetMessage.AllowanceAsked question = question(forward);
    Optional<AllowanceReserve.Decision> own = coordinator.take(question, step.now());
    if (own.isPresent()) {
      return conclude(forward, own.get(), step);
    }
    Refusal last = refusals.get(name);
    if (last != null && last.covers(forward.cost(), step.now())) {
      refuse(forward, last.retryAfter(step.now()), step);
      return Outcome.REFUSED;
    }
    if (step.now().isBefore(silentUntil) || !coordinator.ask(question, step)) {
      refuse(forward, localRetryAfter(forward, step.now()), step);
      return Outcome.REFUSED;
    }
    forward.awaitAllowance(step.now());
    return Outcome.ASKED;
  }

  /** Handles the coordinator's answer to a question about a request that still waits for it. */
  Outcome accept(PendingForward forward, AllowanceReserve.Decision decision, GatewayStep step) {
    forward.endAllowanceWait();
    if (!decision.granted() && decision.retryAfter().isPositive()) {
      Duration memory = min(decision.retryAfter(), MAX_REFUSAL_MEMORY);
      refusals.put(
          forward.tenant().orElseThrow().name(),
          new Refusal(
              forward.cost(), step.now().plus(memory), step.now().plus(decision.retryAfter())));
    }
    return conclude(forward, decision, step);
  }

  private Outcome conclude(
      PendingForward forward, AllowanceReserve.Decision decision, GatewayStep step) {
    if (decision.granted()) {
      allowances.recordReserved(forward.tenant().orElseThrow(), forward.cost());
      forward.markCostTaken();
      return Outcome.ADMITTED;
    }
    Duration retryAfter =
        decision.retryAfter().isPositive()
            ? decision.retryAfter()
            : localRetryAfter(forward, step.now());
    refuse(forward, retryAfter, step);
    return Outcome.REFUSED;
  }

  /**
   * Asks again if the coordinator has not answered for a while.
   *
   * @return whether it has not answered in time; the request is then refused
   */
  boolean timedOut(PendingForward forward, GatewayStep step) {
    Instant now = step.now();
    Instant askedAt = forward.allowanceAskedAt().orElse(now);
    if (now.isBefore(askedAt.plus(ANSWER_TIMEOUT))) {
      if (!now.isBefore(forward.allowanceRepeatedAt().plus(REPEAT_INTERVAL))) {
        forward.repeatAllowanceQuestion(now);
        coordinator.ask(question(forward), step);
      }
      return false;
    }
    silentUntil = now.plus(SILENCE_PAUSE);
    refuse(forward, localRetryAfter(forward, now), step);
    return true;
  }

  private static FleetMessage.AllowanceAsked question(PendingForward forward) {
    return new FleetMessage.AllowanceAsked(
        forward.exchange(), forward.tenant().orElseThrow().name(), forward.cost());
  }

  /** Returns when this node's share will hold the cost of a request. */
  private Duration localRetryAfter(PendingForward forward, Instant now) {
    ForwardRequest request = forward.request();
    return allowances.retryAfter(
        forward.tenant().orElseThrow(), forward.cost(), request.fingerprint(), now);
  }

  private void refuse(PendingForward forward, Duration retryAfter, GatewayStep step) {
    TenantSpec tenant = forward.tenant().orElseThrow();
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        forward.request().id(),
        "code",
        ResultCode.ALLOWANCE_USED.label(),
        "route",
        forward.route().name(),
        "tenant",
        tenant.name(),
        "cost",
        forward.cost(),
        "share",
        allowances.share(tenant),
        "return_after_ms",
        retryAfter.toMillis());
    step.emit(
        new GatewayEffect.Refuse(
            forward.exchange(), ResultCode.ALLOWANCE_USED, Optional.of(retryAfter)));
  }

  private static Duration min(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  /**
   * The coordinator's last refusal for a tenant.
   *
   * @param cost the cost that it did not hold
   * @param decidesUntil time until which the same cost or more is refused without a question
   * @param returnAt when it holds the cost
   */
  private record Refusal(double cost, Instant decidesUntil, Instant returnAt) {

    boolean covers(double other, Instant now) {
      return other >= cost && now.isBefore(decidesUntil);
    }

    Duration retryAfter(Instant now) {
      return Duration.between(now, returnAt);
    }
  }
}
