package dev.wisteriarail.cli;

import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.replay.GeneratedTrace;
import dev.wisteriarail.replay.Scenario;
import dev.wisteriarail.replay.TraceGenerator;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Generates a trace for a deployment. */
final class TraceCommand implements Command {

  private static final int HOURS_PER_DAY = 24;

  @Override
  public String name() {
    return "trace";
  }

  @Override
  public String summary() {
    return "generates a trace, and the faults that belong to it, from a seed";
  }

  @Override
  public String example() {
    return "wisteriarail trace --deployment examples/cwmtawe --scenario flood --seed 1"
        + " --out flood.jsonl";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("deployment", "folder with the answers").withRequiredArg().required();
    parser
        .accepts("scenario", "one of " + String.join(", ", labels()))
        .withRequiredArg()
        .defaultsTo(Scenario.DAY.label());
    parser.accepts("seed", "decides all").withRequiredArg().ofType(Long.class).defaultsTo(1L);
    parser
        .accepts("first-hour", "hour of the day at which it starts")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
    parser
        .accepts("hours", "its length in hours")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(HOURS_PER_DAY);
    parser
        .accepts("out", "file to write; faults go beside it as F.faults")
        .withRequiredArg()
        .required();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out) throws WisteriarailException {
    Configuration configuration =
        AnswersReader.readConfiguration(Path.of((String) options.valueOf("deployment")));
    String name = (String) options.valueOf("scenario");
    Scenario scenario =
        Scenario.named(name)
            .orElseThrow(
                () ->
                    new SettingsException(
                        ResultCode.USAGE,
                        "--scenario",
                        "no scenario named " + name + "; take one of " + labels()));
    GeneratedTrace trace =
        TraceGenerator.generate(
            configuration,
            scenario,
            (Long) options.valueOf("seed"),
            (Integer) options.valueOf("first-hour"),
            (Integer) options.valueOf("hours"));
    String file = (String) options.valueOf("out");
    trace.write(Path.of(file), Path.of(file + ".faults"));
    out.printf("%d requests, %d faults%n", trace.lines().size(), trace.faults().size());
    return ExitCode.SUCCESS;
  }

  private static List<String> labels() {
    return Arrays.stream(Scenario.values()).map(Scenario::label).toList();
  }
}
