package dev.wisteriarail.report;

import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.replay.GeneratedTrace;
import dev.wisteriarail.replay.Replay;
import dev.wisteriarail.replay.ReplayOptions;
import dev.wisteriarail.replay.ReplayPolicies;
import dev.wisteriarail.replay.Scenario;
import dev.wisteriarail.replay.TraceGenerator;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Replays the same generated traces under each placement policy and parameter value.
 *
 * <p>Life cycle: one instance per comparison. Replays run in parallel on a fixed number of threads,
 * each replay on a single thread.
 */
public final class Comparison {

  private static final double[] WEIGHTS = {0.1, 0.3, 0.5, 0.8, 0.9, 0.96};
  private static final long[] TIMEOUT_SECONDS = {30, 60, 120, 300, 600, 1_200};

  /** A policy with one value of its parameter. */
  private record PolicyVariant(String family, String parameter, ReplayOptions options) {}

  private final AnswerSet answers;
  private final Configuration configuration;
  private final Scenario scenario;
  private final int firstHour;
  private final int hours;

  private Comparison(AnswerSet answers, Scenario scenario, int firstHour, int hours)
      throws SettingsException {
    this.answers = answers;
    this.scenario = scenario;
    this.firstHour = firstHour;
    this.hours = hours;
    configuration = answers.configuration();
  }

  /**
   * Returns a comparison over generated traces.
   *
   * @param firstHour hour of the day at which the traces start
   * @param hours length of the traces in hours
   * @throws SettingsException if the answers are invalid; lists every problem
   */
  public static Comparison of(AnswerSet answers, Scenario scenario, int firstHour, int hours)
      throws SettingsException {
    return new Comparison(answers, scenario, firstHour, hours);
  }

  /**
   * Replays the trace of one seed under every selected policy.
   *
   * @param families policies to replay; all if empty
   * @param threads number of replays that run in parallel
   */
  public List<ComparedRow> run(long seed, Set<String> families, int threads)
      throws SettingsException, InterruptedException {
    GeneratedTrace trace = TraceGenerator.generate(configuration, scenario, seed, firstHour, hours);
    List<Callable<ComparedRow>> tasks = new ArrayList<>();
    for (PolicyVariant variant : policyVariants()) {
      if (families.isEmpty() || families.contains(variant.family())) {
        tasks.add(() -> replay(variant, trace, seed));
      }
    }
    try (ExecutorService workers = Executors.newFixedThreadPool(threads)) {
      List<ComparedRow> rows = new ArrayList<>();
      for (Future<ComparedRow> row : workers.invokeAll(tasks)) {
        rows.add(row.get());
      }
      return rows;
    } catch (ExecutionException failure) {
      throw new IllegalStateException(failure.getCause());
    }
  }

  private ComparedRow replay(PolicyVariant variant, GeneratedTrace trace, long seed) {
    ReplayOptions options = variant.options().withFaults(trace.faults());
    return new ComparedRow(
        variant.family(),
        variant.parameter(),
        seed,
        Replay.run(answers.sections(), trace.lines(), options).result());
  }

  private List<PolicyVariant> policyVariants() throws SettingsException {
    List<PolicyVariant> variants = new ArrayList<>();
    for (double weight : WEIGHTS) {
      variants.add(
          new PolicyVariant(
              "default", "weight " + weight, options("default", 0).withColdStartWeight(weight)));
    }
    for (long seconds : TIMEOUT_SECONDS) {
      variants.add(
          new PolicyVariant("fixed-timeout", seconds + " s", options("fixed-timeout", seconds)));
    }
    variants.add(new PolicyVariant("lru", "", options("lru", 0)));
    variants.add(
        new PolicyVariant(ReplayPolicies.CLAIRVOYANT, "", options(ReplayPolicies.CLAIRVOYANT, 0)));
    return variants;
  }

  private static ReplayOptions options(String policy, long idleSeconds) throws SettingsException {
    return ReplayOptions.of(policy, ReplayPolicies.find(policy, Duration.ofSeconds(idleSeconds)));
  }
}
