package dev.wisteriarail.core.forward;

import java.util.List;
import java.util.Optional;

/**
 * Selects the runner for a request.
 *
 * <p>Many requests for one model may arrive together at many nodes, which see each other's choices
 * late. The least loaded runner is selected; a runner that has read the session of the request
 * before is preferred to one that is only a little less loaded. Ties are broken by the request, so
 * that nodes with the same information do not all select the same runner.
 */
public final class RunnerScoring {

  /**
   * Number of requests that a warm prompt cache outweighs: about the time to read a prompt again.
   */
  private static final double SESSION_BONUS = 2.0;

  /**
   * Number of requests that the same failure domain outweighs: traffic within it is cheaper and
   * faster.
   */
  private static final double DOMAIN_BONUS = 0.5;

  /** Number of requests that a failure rate of 1 weighs. */
  private static final double FAILURE_WEIGHT = 8.0;

  private RunnerScoring() {}

  /** Returns the best candidate with a free slot. */
  public static Optional<Candidate> best(List<Candidate> candidates, long tieBreaker) {
    Candidate best = null;
    double bestScore = Double.MAX_VALUE;
    for (Candidate candidate : candidates) {
      if (candidate.running() >= candidate.slots()) {
        continue;
      }
      double score = score(candidate, tieBreaker);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double score(Candidate candidate, long tieBreaker) {
    double score = candidate.running() + FAILURE_WEIGHT * candidate.failureRate();
    score -= candidate.hasSession() ? SESSION_BONUS : 0;
    score -= candidate.sameDomain() ? DOMAIN_BONUS : 0;
    long mixed = (tieBreaker ^ candidate.runner().hashCode()) * 0x9E3779B97F4A7C15L;
    return score + (mixed >>> 40) / (double) (1 << 24);
  }

  /**
   * A runner that could serve the request.
   *
   * @param runner identifier of the runner
   * @param running number of requests at the runner
   * @param slots number of requests that the runner serves concurrently
   * @param sameDomain whether the runner is in the failure domain of the node
   * @param hasSession whether the runner served the session of the request before
   * @param failureRate share of its recent requests that failed
   */
  public record Candidate(
      String runner,
      int running,
      int slots,
      boolean sameDomain,
      boolean hasSession,
      double failureRate) {}
}
