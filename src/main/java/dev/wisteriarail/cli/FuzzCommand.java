package dev.wisteriarail.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.fuzz.Campaign;
import dev.wisteriarail.fuzz.gateway.GatewayDefect;
import dev.wisteriarail.fuzz.gateway.GatewayFuzz;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Fuzzes a fleet of node cores in virtual time and checks each run against the oracle. */
final class FuzzCommand implements Command {

  private static final long DEFAULT_SEED = 1;
  private static final int DEFAULT_RUNS = 10;
  private static final int DEFAULT_STEPS = 300;

  /** Plans of the runs of gateway nodes, one run each for each seed. */
  private static final List<GatewayFuzz.Plan> DISTURBED_PLANS =
      List.of(GatewayFuzz.Plan.FAULTS, GatewayFuzz.Plan.PLANNED);

  @Override
  public String name() {
    return "fuzz";
  }

  @Override
  public String summary() {
    return "fuzzes a fleet of node cores against an oracle; runs are reproducible by seed";
  }

  @Override
  public String example() {
    return "wisteriarail fuzz --seed 1 --runs 10 --steps 300 --json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("seed", "seed of the first run; incremented by one for each further run")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_SEED);
    parser
        .accepts("runs", "number of runs")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_RUNS);
    parser
        .accepts("steps", "number of requests and faults in each run")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_STEPS);
    parser.accepts("shrink", "search for the shortest plan that violates the same invariant");
    parser.accepts("history", "print the history of each run that violates an invariant");
    parser.accepts("gateway", "fuzz gateway nodes on the users' platform instead");
    parser.accepts("json", "print one JSON object");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out) throws WisteriarailException {
    if (options.has("gateway")) {
      return runGateways(options, out);
    }
    Campaign campaign =
        Campaign.run(
            (Long) options.valueOf("seed"),
            (Integer) options.valueOf("runs"),
            (Integer) options.valueOf("steps"),
            options.has("shrink"));
    out.println(options.has("json") ? json(campaign.summary()) : campaign.summary().describe());
    if (options.has("history")) {
      campaign.histories().forEach(out::println);
    }
    return campaign.summary().violations().isEmpty() ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private static ExitCode runGateways(OptionSet options, PrintStream out) {
    long first = (Long) options.valueOf("seed");
    boolean allPassed = true;
    for (long seed = first; seed < first + (Integer) options.valueOf("runs"); seed++) {
      for (GatewayFuzz.Plan plan : DISTURBED_PLANS) {
        GatewayFuzz.Result result = GatewayFuzz.execute(seed, plan, GatewayDefect.NONE);
        out.println(result.describe());
        allPassed &= result.violations().isEmpty();
      }
    }
    return allPassed ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private static String json(Campaign.Summary summary) {
    try {
      return Codecs.json().writeValueAsString(summary);
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
