package dev.wisteriarail.cli;

import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.replay.Scenario;
import dev.wisteriarail.report.ComparedRow;
import dev.wisteriarail.report.Comparison;
import dev.wisteriarail.report.MarkdownTable;
import dev.wisteriarail.report.MeanRow;
import dev.wisteriarail.report.Plots;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Compares the placement policies on generated traces. */
final class CompareCommand implements Command {

  private static final int HOURS_PER_DAY = 24;

  @Override
  public String name() {
    return "compare";
  }

  @Override
  public String summary() {
    return "replays generated traces under every placement policy; prints a table, plots the curve";
  }

  @Override
  public String example() {
    return "wisteriarail compare --deployment examples/cwmtawe --seed 1 --seed 2 --plot curve.png";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("deployment", "folder with the deployment's answers")
        .withRequiredArg()
        .required();
    parser
        .accepts("scenario", "scenario of the traces")
        .withRequiredArg()
        .defaultsTo(Scenario.DAY.label());
    parser
        .accepts("seed", "seed of a trace; repeatable")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(1L);
    parser.accepts("first-hour").withRequiredArg().ofType(Integer.class).defaultsTo(0);
    parser.accepts("hours").withRequiredArg().ofType(Integer.class).defaultsTo(HOURS_PER_DAY);
    parser
        .accepts("threads", "number of replays run in parallel")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(4);
    parser.accepts("policy", "replay only this policy; repeatable").withRequiredArg();
    parser.accepts("plot", "PNG file for the trade-off curve").withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    String deployment = (String) options.valueOf("deployment");
    AnswerSet answers = AnswersReader.read(List.of(Path.of(deployment)));
    String name = (String) options.valueOf("scenario");
    Scenario scenario =
        Scenario.named(name)
            .orElseThrow(
                () -> new SettingsException(ResultCode.USAGE, "--scenario", "no scenario " + name));
    Comparison comparison =
        Comparison.of(
            answers,
            scenario,
            (Integer) options.valueOf("first-hour"),
            (Integer) options.valueOf("hours"));
    List<ComparedRow> rows = new ArrayList<>();
    Set<String> policies = new HashSet<>();
    options.valuesOf("policy").forEach(policy -> policies.add((String) policy));
    for (Object seed : options.valuesOf("seed")) {
      rows.addAll(comparison.run((Long) seed, policies, (Integer) options.valueOf("threads")));
    }
    List<MeanRow> means = MeanRow.of(rows);
    out.print(MarkdownTable.of(means));
    if (options.has("plot")) {
      Plots.writeTradeOff(deployment, means, Path.of((String) options.valueOf("plot")));
    }
    return ExitCode.SUCCESS;
  }
}
