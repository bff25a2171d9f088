package dev.wisteriarail.core.tenant;

import dev.wisteriarail.core.forward.ForwardRequest;

/**
 * How much a tenant may use, over all nodes together.
 *
 * @param unit what is counted
 * @param ratePerSecond units per second; 0 for no limit
 * @param burst units that may be used at once in addition
 * @param plainTokens cost in tokens of a request that does not state its token usage
 */
public record Allowance(Unit unit, double ratePerSecond, double burst, int plainTokens) {

  /** No limit. */
  public static final Allowance UNLIMITED = new Allowance(Unit.REQUESTS, 0, 0, 0);

  /** What an allowance counts. */
  public enum Unit {
    /** Requests. */
    REQUESTS,
    /** Tokens of the prompt and the maximum number of tokens of the answer. */
    TOKENS
  }

  /** Returns whether there is a limit. */
  public boolean isLimited() {
    return ratePerSecond > 0 || burst > 0;
  }

  /** Returns what a request costs. */
  public double cost(ForwardRequest request) {
    if (unit == Unit.REQUESTS) {
      return 1;
    }
    long tokens = (long) request.promptTokens() + request.answerTokens();
    return request.statesTokens() ? tokens : plainTokens;
  }
}
