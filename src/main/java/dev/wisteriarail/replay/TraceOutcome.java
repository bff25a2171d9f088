package dev.wisteriarail.replay;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The limits that a replay of a trace must meet, derived from the promises to users.
 *
 * @param lost maximum number of requests without an outcome
 * @param maxMemoryOvercommitBytes maximum number of bytes beyond a runner's memory
 * @param extraReplicas maximum number of replicas beyond a model's limit
 * @param late maximum number of requests neither dispatched nor refused by their deadline
 * @param unrefusedKinds kinds whose requests must not be refused
 * @param floodingCustomer the customer whose requests alone may be refused, as it floods the
 *     deployment; null if no customer does
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
   * Reads the limits from the file next to a trace.
   *
   * @throws SettingsException if the file cannot be read
   */
  public static TraceOutcome read(Path file) throws SettingsException {
    return JsonLines.read(file, TraceOutcome.class, ResultCode.TRACE_LINE_INVALID).getFirst();
  }

  /** Returns the limits that a replay exceeded, one line each. */
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
