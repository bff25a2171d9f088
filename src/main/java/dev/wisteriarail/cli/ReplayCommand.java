package dev.wisteriarail.cli;

import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.replay.Replay;
import dev.wisteriarail.replay.ReplayOptions;
import dev.wisteriarail.replay.ReplayPolicies;
import dev.wisteriarail.replay.ReplayResult;
import dev.wisteriarail.replay.TraceReader;
import dev.wisteriarail.report.Plots;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Replays a recorded trace in virtual time and prints the result. */
final class ReplayCommand implements Command {

  @Override
  public String name() {
    return "replay";
  }

  @Override
  public String summary() {
    return "replays a recorded trace in virtual time through the production code of nodes";
  }

  @Override
  public String example() {
    return "wisteriarail replay --deployment examples/cwmtawe --trace day.jsonl"
        + " --policy default --json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("deployment", "folder with the deployment's answers")
        .withRequiredArg()
        .required();
    parser.accepts("trace", "file with one request per line").withRequiredArg().required();
    parser
        .accepts("policy", "default, fixed-timeout, lru or clairvoyant")
        .withRequiredArg()
        .defaultsTo("default");
    parser.accepts("faults", "file with one fault per line").withRequiredArg();
    parser
        .accepts("idle-timeout-s", "idle timeout of the fixed-timeout policy, in seconds")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(PlacementPolicy.DEFAULT_IDLE_TIMEOUT.toSeconds());
    parser
        .accepts("cold-start-weight", "cold-start weight that overrides the deployment's, 0 to 1")
        .withRequiredArg()
        .ofType(Double.class);
    parser
        .accepts("nodes", "number of nodes")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(3);
    parser.accepts("timeline", "PNG file for the timeline of the run").withRequiredArg();
    parser.accepts("json", "print one JSON object on one line");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out) throws WisteriarailException {
    AnswerSet answers =
        AnswersReader.read(List.of(Path.of((String) options.valueOf("deployment"))));
    Configuration configuration = answers.configuration();
    String policy = (String) options.valueOf("policy");
    Duration idle = Duration.ofSeconds((Long) options.valueOf("idle-timeout-s"));
    ReplayOptions replay =
        ReplayOptions.of(policy, ReplayPolicies.find(policy, idle))
            .withNodes((Integer) options.valueOf("nodes"));
    if (options.has("faults")) {
      Path faults = Path.of((String) options.valueOf("faults"));
      replay = replay.withFaults(TraceReader.readFaults(faults, configuration));
    }
    if (options.has("cold-start-weight")) {
      replay = replay.withColdStartWeight((Double) options.valueOf("cold-start-weight"));
    }
    Path trace = Path.of((String) options.valueOf("trace"));
    ReplayResult.WithTimeline run =
        Replay.run(answers.sections(), TraceReader.readTrace(trace, configuration), replay);
    ReplayResult result = run.result();
    if (options.has("timeline")) {
      String title = result.deployment() + ", " + result.policy();
      Path file = Path.of((String) options.valueOf("timeline"));
      Plots.writeTimeline(title, run.samples(), file);
    }
    out.println(options.has("json") ? result.toJson() : result.toText());
    return ExitCode.SUCCESS;
  }
}
