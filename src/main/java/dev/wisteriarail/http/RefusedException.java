package dev.wisteriarail.http;

import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.result.ResultCode;

/** Refuses a request before it reaches the core. */
final class RefusedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Refusal refusal;

  RefusedException(Refusal refusal) {
    super(refusal.detail());
    this.refusal = refusal;
  }

  static RefusedException of(ResultCode code, String detail) {
    return new RefusedException(Refusal.notRun(code, detail));
  }

  Refusal refusal() {
    return refusal;
  }
}
