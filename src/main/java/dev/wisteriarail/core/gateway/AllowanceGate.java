package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.util.Optional;

/**
 * Refuses requests that exceed the allowance of their tenant.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class AllowanceGate {

  private final TenantAllowances allowances;

  private AllowanceGate(TenantAllowances allowances) {
    this.allowances = allowances;
  }

  static AllowanceGate create(TenantAllowances allowances) {
    return new AllowanceGate(allowances);
  }

  /** Takes the cost of a request from the allowance; refuses the request if it does not suffice. */
  boolean tryAdmit(PendingForward forward, GatewayStep step) {
    Optional<TenantSpec> tenant = forward.tenant();
    if (tenant.isEmpty() || allowances.tryAcquire(tenant.get(), forward.cost(), step.now())) {
      return true;
    }
    Duration retryAfter =
        allowances.retryAfter(
            tenant.get(), forward.cost(), forward.request().fingerprint(), step.now());
    step.log(
        EventCode.FORWARD_REFUSED,
        "request",
        forward.request().id(),
        "code",
        ResultCode.ALLOWANCE_USED.label(),
        "route",
        forward.route().name(),
        "tenant",
        tenant.get().name(),
        "cost",
        forward.cost(),
        "share",
        allowances.share(tenant.get()),
        "return_after_ms",
        retryAfter.toMillis());
    step.emit(
        new GatewayEffect.Refuse(
            forward.exchange(), ResultCode.ALLOWANCE_USED, Optional.of(retryAfter)));
    return false;
  }
}
