package dev.wisteriarail.http;

import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.result.ResultCode;

/** Ends the handling of a call with a refusal before the core saw the request. */
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
