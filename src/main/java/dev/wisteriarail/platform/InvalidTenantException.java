package dev.wisteriarail.platform;

import dev.wisteriarail.core.tenant.TenantFault;
import java.io.IOException;
import java.io.Serial;

/** A configuration describes tenants that cannot come into force. */
final class InvalidTenantException extends IOException {

  @Serial private static final long serialVersionUID = 1L;

  private final transient TenantFault fault;

  InvalidTenantException(TenantFault fault) {
    super(fault.reason());
    this.fault = fault;
  }

  /** Returns what is wrong. */
  TenantFault fault() {
    return fault;
  }
}
