package dev.wisteriarail.replay;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The outcome that a trace is held to, from what the users were promised.
 *
 * @param lost most requests without an ending
 * @param maxMemoryOvercommitBytes most bytes beyond a runner's memory
 * @param extraReplicas most replicas beyond a model's limit
 * @param late most requests that were neither dispatched nor refused by their deadline
 * @param unrefusedKinds kinds of which no request may be refused
 * @param floodingCustomer the customer that floods; of no other may a request be refused; null
 *     where none floods
 */
public record TraceOutcome(
    int lost,
    long maxMemoryOvercommitBytes,
    int extraReplicas,
    int late,
    List<String> unrefusedKinds,
    String floodingCustomer) {

  /** Copies the list. */
  public TraceOutcome {
    unrefusedKinds = List.copyOf(unrefusedKinds);
  }

  /**
   * Reads the outcome beside a trace.
   *
   * @throws SettingsException if the file cannot be read
   */
  public static TraceOutcome read(Path file) throws SettingsException {
    return JsonLines.read(file, TraceOutcome.class, ResultCode.TRACE_LINE_INVALID).getFirst();
  }

  /** Returns what a replay broke of it, one sentence each. */
  public List<String> violations(ReplayResult result) {
    List<String> violations = new ArrayList<>();
    check(result.lost(), lost, "lost", violations);
    check(result.requests() - result.served() - result.refused(), lost, "unended", violations);
    check(result.maxMemoryOvercommitBytes(), maxMemoryOvercommitBytes, "overcommit", violations);
    check(result.extraReplicas(), extraReplicas, "extra replicas", violations);
    check(result.late(), late, "late", violations);
    for (String kind : unrefusedKinds) {
      check(result.refusedByKind().getOrDefault(kind, 0), 0, "refused " + kind, violations);
    }
    if (floodingCustomer != null) {
      int others = result.refused() - result.refusedByCustomer().getOrDefault(floodingCustomer, 0);
      check(others, 0, "refused of others than " + floodingCustomer, violations);
    }
    return violations;
  }

  private static void check(long measured, long bound, String measure, List<String> violations) {
    if (measured > bound) {
      violations.add(measure + " " + measured + ", at most " + bound);
    }
  }
}
