package dev.wisteriarail.http;

import dev.wisteriarail.core.request.Refusal;

/**
 * Body of an error answer, as {@code application/problem+json}.
 *
 * @param type a stable URN of the code
 * @param title summary of the code
 * @param status HTTP status
 * @param code label of the result code, for example {@code WR-1201}
 * @param execution whether the request ran: "not run", "may have run" or "ran"
 * @param detail explanation of this occurrence
 * @param request the request's identifier
 */
public record ProblemBody(
    String type,
    String title,
    int status,
    String code,
    String execution,
    String detail,
    String request) {

  /** Returns the body for a refusal. */
  public static ProblemBody of(Refusal refusal, String request) {
    return new ProblemBody(
        "urn:wisteriarail:" + refusal.code().label(),
        refusal.code().summary(),
        refusal.code().httpStatus(),
        refusal.code().label(),
        refusal.execution().label(),
        refusal.detail(),
        request);
  }
}
