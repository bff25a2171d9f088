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

/** Generates a request trace and its faults for a deployment. */
final class TraceCommand implements Command {

  private static final int HOURS_PER_DAY = 24;

  @Override
  public String name() {
    return "trace";
  }

  @Override
  public String summary() {
    return "generates a trace and its faults from a seed";
  }

  @Override
  public String example() {
    return "wisteriarail trace --deployment examples/cwmtawe --scenario flood --seed 1"
        + " --out flood.jsonl";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("deployment", "folder with the deployment's answers")
        .withRequiredArg()
        .required();
    parser
        .accepts("scenario", "one of " + String.join(", ", labels()))
        .withRequiredArg()
        .defaultsTo(Scenario.DAY.label());
    parser
        .accepts("seed", "seed of the trace; the same seed gives the same trace")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(1L);
    parser
        .accepts("first-hour", "hour of the day at which the trace starts")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(0);
    parser
        .accepts("hours", "length of the trace in hours")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(HOURS_PER_DAY);
    parser
        .accepts("out", "file F to write; faults are written to F.faults")
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
                        "no scenario named " + name + "; choose one of " + labels()));
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
