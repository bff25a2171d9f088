package dev.wisteriarail.fuzz;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Fuzz runs with consecutive seeds, and their results. Immutable. */
public final class Campaign {

  /**
   * A violation and the command that reproduces it.
   *
   * @param seed the run's seed
   * @param steps the run's number of actions
   * @param check name of the check
   * @param atMillis virtual time from the start of the run, in milliseconds
   * @param detail description of the violation
   * @param command command that repeats the run
   */
  public record Finding(
      long seed, int steps, String check, long atMillis, String detail, String command) {}

  /**
   * The results of all runs.
   *
   * @param runs number of runs
   * @param steps actions performed in all runs
   * @param events lines of history in all runs
   * @param faults faults injected, by kind
   * @param outcomes number of requests by outcome
   * @param digests history digest of each run, by seed
   * @param violations violations of all runs
   */
  public record Summary(
      int runs,
      long steps,
      long events,
      Map<String, Integer> faults,
      Map<String, Integer> outcomes,
      Map<Long, String> digests,
      List<Finding> violations) {

    /** Returns the summary as lines of text. */
    public String describe() {
      StringBuilder text = new StringBuilder();
      text.append("runs ").append(runs).append(", steps ").append(steps);
      text.append(", events ").append(events).append('\n');
      text.append("faults ").append(faults).append('\n');
      text.append("outcomes ").append(outcomes).append('\n');
      for (Finding finding : violations) {
        text.append("violation ").append(finding).append('\n');
      }
      text.append("violations ").append(violations.size());
      return text.toString();
    }
  }

  private final Summary summary;
  private final List<String> histories;

  private Campaign(Summary summary, List<String> histories) {
    this.summary = summary;
    this.histories = histories;
  }

  /** Executes runs with consecutive seeds. */
  public static Campaign run(long firstSeed, int runs, int steps, boolean shrinks) {
    Map<String, Integer> faults = new TreeMap<>();
    Map<String, Integer> outcomes = new TreeMap<>();
    Map<Long, String> digests = new TreeMap<>();
    List<Finding> findings = new ArrayList<>();
    List<String> histories = new ArrayList<>();
    long done = 0;
    long events = 0;
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      RunResult result = FuzzRun.execute(FuzzRun.plan(seed, steps), Defect.NONE);
      done += result.plan().actions().size();
      events += result.lines();
      result.faults().forEach((kind, count) -> faults.merge(kind.name(), count, Integer::sum));
      result.outcomes().forEach((name, count) -> outcomes.merge(name, count, Integer::sum));
      digests.put(seed, result.digest());
      result.violations().forEach(violation -> findings.add(finding(result, steps, violation)));
      if (!result.violations().isEmpty()) {
        RunResult shown = shrinks ? Shrinker.shrink(result, Defect.NONE) : result;
        histories.add(describe(shown));
      }
    }
    return new Campaign(
        new Summary(runs, done, events, faults, outcomes, digests, findings), histories);
  }

  // Accessors

  /** Returns the results of all runs. */
  public Summary summary() {
    return summary;
  }

  /** Returns a readable history of each run with violations. */
  public List<String> histories() {
    return Collections.unmodifiableList(histories);
  }

  // Helpers

  private static Finding finding(RunResult result, int steps, Violation violation) {
    long seed = result.plan().seed();
    return new Finding(
        seed,
        steps,
        violation.check(),
        violation.at().toEpochMilli(),
        violation.detail(),
        "wisteriarail fuzz --seed " + seed + " --runs 1 --steps " + steps + " --shrink --history");
  }

  private static String describe(RunResult result) {
    StringBuilder text = new StringBuilder();
    text.append("seed ").append(result.plan().seed());
    text.append(", nodes ").append(result.plan().nodes());
    text.append(", actions ").append(result.plan().actions().size()).append('\n');
    result.history().forEach(line -> text.append(line).append('\n'));
    for (Violation violation : result.violations()) {
      text.append("violation ").append(violation.check());
      text.append(" at ").append(violation.at().toEpochMilli()).append(" ms: ");
      text.append(violation.detail()).append('\n');
    }
    return text.toString();
  }
}
