package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.Durations;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.tenant.AllowanceDecisions;
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
 * asks the owner of the tenant, and the request waits for the decision: also while no owner
 * decides, because another node becomes the owner within seconds, and a refused caller would not
 * return earlier.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AllowanceGate {

  /** Longest wait for a decision. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(2);

  /** Part of the time left until a request's deadline for which it may wait for its allowance. */
  private static final int WAIT_DIVISOR = 2;

  /** Longest time for which a refusal by the owner decides about further requests. */
  private static final Duration MAX_REFUSAL_MEMORY = Duration.ofMillis(100);

  /** Retry-after time while no owner decides; another node becomes the owner in this time. */
  private static final Duration UNDECIDED_RETRY_AFTER = Duration.ofSeconds(2);

  private final TenantAllowances allowances;
  private final Owners owners;
  private final Map<String, Refusal> refusals = new HashMap<>();

  private AllowanceGate(TenantAllowances allowances, Owners owners) {
    this.allowances = allowances;
    this.owners = owners;
  }

  static AllowanceGate create(TenantAllowances allowances, Owners owners) {
    return new AllowanceGate(allowances, owners);
  }

  /** The nodes that decide on what this node's shares do not hold. */
  interface Owners {

    /** Returns the owner of a tenant; empty if it is not known. */
    Optional<NodeId> node(String tenant);

    /** Returns the decision if this node is the owner. */
    Optional<AllowanceDecisions.Decision> take(FleetMessage.AllowanceAsked question, Instant now);

    /** Sends a message to the owner of a tenant if it is another node and known. */
    void send(String tenant, FleetMessage message, GatewayStep step);

    /** Returns a cost to the owner of its tenant. */
    void giveBack(FleetMessage.AllowanceReturned returned, GatewayStep step);
  }

  /** What becomes of a request. */
  enum Outcome {
    ADMITTED,
    /** The request was refused; the caller has its answer. */
    REFUSED,
    /** The request waits; see {@link #accept} and {@link #advance}. */
    WAITING
  }

  /** Why a request was refused. */
  enum Basis {
    /** The owner's share does not hold the cost in time. */
    BALANCE,
    /** The owner refused another request of the same cost just before. */
    RECENT_REFUSAL,
    /** The owner did not decide in time. */
    NO_ANSWER,
    /** No owner was known. */
    NO_OWNER
  }

  /** Takes the cost of a request from the allowance, asks for it, or refuses the request. */
  Outcome admit(PendingForward forward, GatewayStep step) {
    Optional<TenantSpec> tenant = forward.tenant();
    if (tenant.isEmpty()) {
      return Outcome.ADMITTED;
    }
    final Instant now = step.now();
    if (allowances.tryAcquire(tenant.get(), forward.cost(), now)) {
      forward.markCostTaken(PendingForward.CostSource.SHARE);
      return Outcome.ADMITTED;
    }
    Duration patience = Durations.min(MAX_WAIT, forward.timeLeft(now).dividedBy(WAIT_DIVISOR));
    AllowanceWait wait = AllowanceWait.begin(patience, now);
    forward.awaitAllowance(wait);
    Refusal last = refusals.get(tenant.get().name());
    if (last != null && last.covers(forward.cost(), patience, now)) {
      return refuse(forward, wait, Basis.RECENT_REFUSAL, last.retryAfter(now), step);
    }
    return advance(forward, wait, step);
  }

  /** Handles the owner's decision about a request that waits for it. */
  Outcome accept(
      PendingForward forward,
      AllowanceWait wait,
      AllowanceDecisions.Decision decision,
      GatewayStep step) {
    Instant now = step.now();
    if (wait.isGranted()) {
      return Outcome.WAITING;
    }
    if (!decision.isDecided()) {
      wait.recordUndecided(now);
      return Outcome.WAITING;
    }
    if (!decision.granted()) {
      Duration memory = Durations.min(decision.delay(), MAX_REFUSAL_MEMORY);
      refusals.put(
          forward.tenant().orElseThrow().name(),
          new Refusal(
              forward.cost(),
              wait.patienceLeft(now),
              now.plus(memory),
              now.plus(decision.delay())));
      return refuse(forward, wait, Basis.BALANCE, decision.delay(), step);
    }
    allowances.recordAdmitted(forward.tenant().orElseThrow(), forward.cost());
    forward.markCostTaken(PendingForward.CostSource.OWNER);
    wait.grant(now.plus(decision.delay()));
    return admitIfDue(forward, wait, now);
  }

  /** Admits a waiting request if its time has come, asks again, or refuses it. */
  Outcome advance(PendingForward forward, AllowanceWait wait, GatewayStep step) {
    Instant now = step.now();
    if (wait.isGranted()) {
      return admitIfDue(forward, wait, now);
    }
    if (wait.isOver(now)) {
      if (allowances.tryAcquireAgain(forward.tenant().orElseThrow(), forward.cost(), now)) {
        forward.markCostTaken(PendingForward.CostSource.SHARE);
        forward.endAllowanceWait(now);
        return Outcome.ADMITTED;
      }
      Basis basis = wait.wasAsked() ? Basis.NO_ANSWER : Basis.NO_OWNER;
      return refuse(forward, wait, basis, undecidedRetryAfter(forward, now), step);
    }
    String tenant = forward.tenant().orElseThrow().name();
    Optional<NodeId> node = owners.node(tenant);
    if (!wait.isQuestionDue(node, now)) {
      return Outcome.WAITING;
    }
    wait.recordQuestion(node, now);
    FleetMessage.AllowanceAsked question =
        new FleetMessage.AllowanceAsked(
            forward.exchange(), tenant, forward.cost(), wait.patienceLeft(now).toMillis());
    Optional<AllowanceDecisions.Decision> own = owners.take(question, now);
    if (own.isPresent()) {
      return accept(forward, wait, own.get(), step);
    }
    owners.send(tenant, question, step);
    return Outcome.WAITING;
  }

  private static Outcome admitIfDue(PendingForward forward, AllowanceWait wait, Instant now) {
    if (!wait.isAdmitted(now)) {
      return Outcome.WAITING;
    }
    forward.endAllowanceWait(now);
    return Outcome.ADMITTED;
  }

  /** Returns the cost of a request that ended without having run to where it came from. */
  void giveBack(PendingForward forward, GatewayStep step) {
    if (forward.tenant().isEmpty() || forward.costSource().isEmpty()) {
      return;
    }
    TenantSpec tenant = forward.tenant().get();
    if (forward.costSource().get() == PendingForward.CostSource.SHARE) {
      allowances.giveBack(tenant, forward.cost(), step.now());
    } else {
      allowances.recordReturned(tenant, forward.cost());
      owners.giveBack(new FleetMessage.AllowanceReturned(tenant.name(), forward.cost()), step);
    }
  }

  /**
   * Returns when a caller returns that the owner has not decided on: when this node's share holds
   * the cost, or when there is likely to be an owner again.
   */
  private Duration undecidedRetryAfter(PendingForward forward, Instant now) {
    ForwardRequest request = forward.request();
    return Durations.min(
        allowances.retryAfter(
            forward.tenant().orElseThrow(), forward.cost(), request.fingerprint(), now),
        UNDECIDED_RETRY_AFTER);
  }

  private Outcome refuse(
      PendingForward forward,
      AllowanceWait wait,
      Basis basis,
      Duration retryAfter,
      GatewayStep step) {
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
        "basis",
        basis,
        "waited_ms",
        wait.waited(step.now()).toMillis(),
        "return_after_ms",
        retryAfter.toMillis());
    step.emit(
        new GatewayEffect.Refuse(
            forward.exchange(), ResultCode.ALLOWANCE_USED, Optional.of(retryAfter)));
    forward.endAllowanceWait(step.now());
    return Outcome.REFUSED;
  }

  /**
   * The owner's last refusal for a tenant.
   *
   * @param cost the cost that it did not hold
   * @param patience time for which the refused request would have waited
   * @param decidesUntil time until which a request of the same cost or more and the same patience
   *     or less is refused without a question
   * @param returnAt when it holds the cost
   */
  private record Refusal(double cost, Duration patience, Instant decidesUntil, Instant returnAt) {

    boolean covers(double otherCost, Duration otherPatience, Instant now) {
      return otherCost >= cost
          && otherPatience.compareTo(patience) <= 0
          && now.isBefore(decidesUntil);
    }

    Duration retryAfter(Instant now) {
      return Duration.between(now, returnAt);
    }
  }
}
