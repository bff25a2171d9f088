package dev.wisteriarail.core.forward;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the runner for one request.
 *
 * <p>The load that it answers: many requests of one model arrive together at many nodes, which see
 * each other's choices late. The least loaded runner wins; a runner that has read the request's
 * session before wins over one that is only a little less loaded; ties are broken by the request,
 * so that nodes with the same knowledge do not all choose the same runner.
 */
public final class RunnerScoring {

  /** Requests that a warm prompt cache is worth: about the time to read a prompt anew. */
  private static final double SESSION_BONUS = 2.0;

  /** Requests that staying in the failure domain is worth: its traffic costs, and it is nearer. */
  private static final double DOMAIN_BONUS = 0.5;

  /** Requests that a share of failures of 1 weighs. */
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
   * @param runner the runner
   * @param running requests that it serves
   * @param slots requests that it serves at a time
   * @param sameDomain whether it stands in the node's failure domain
   * @param hasSession whether it served the request's session before
   * @param failureRate share of its requests that failed lately
   */
  public record Candidate(
      String runner,
      int running,
      int slots,
      boolean sameDomain,
      boolean hasSession,
      double failureRate) {}
}
