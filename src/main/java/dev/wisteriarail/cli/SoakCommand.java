package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.soak.Soak;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Runs soak tests on real node processes under externally injected faults. */
final class SoakCommand implements Command {

  private static final long DEFAULT_SEED = 1;
  private static final int DEFAULT_RUNS = 1;
  private static final int DEFAULT_SECONDS = 20;
  private static final int DEFAULT_NODES = 3;

  @Override
  public String name() {
    return "soak";
  }

  @Override
  public String summary() {
    return "runs real node processes under seeded faults and checks the answers to callers";
  }

  @Override
  public String example() {
    return "wisteriarail soak --seed 1 --seconds 20 --nodes 3";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("seed", "seed of the first soak; incremented by one for each further soak")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_SEED);
    parser
        .accepts("runs", "number of soaks, run sequentially")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_RUNS);
    parser
        .accepts("seconds", "period of each soak in which new faults start, in seconds")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_SECONDS);
    parser
        .accepts("nodes", "number of node processes")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_NODES);
    parser.accepts(
        "unchecked-fences", "runners that check no fencing numbers, and cuts of the ordering node");
    parser
        .accepts(
            "dir",
            "directory for settings and logs of the nodes; default: a new temporary directory")
        .withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    long first = (Long) options.valueOf("seed");
    boolean allPassed = true;
    for (long seed = first; seed < first + (Integer) options.valueOf("runs"); seed++) {
      Path directory = directory((String) options.valueOf("dir"), seed);
      out.println("logs of seed " + seed + " in " + directory);
      Duration length = Duration.ofSeconds((Integer) options.valueOf("seconds"));
      int nodes = (Integer) options.valueOf("nodes");
      Soak.Report report =
          options.has("unchecked-fences")
              ? Soak.runWithUncheckedFences(seed, length, nodes, directory, out)
              : Soak.run(seed, length, nodes, directory, out);
      out.println(report.describe());
      allPassed &= report.violations().isEmpty();
    }
    return allPassed ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private static Path directory(String parent, long seed) throws SettingsException {
    try {
      return parent == null
          ? Files.createTempDirectory("wisteriarail-soak-" + seed + "-")
          : Files.createDirectories(Path.of(parent, "seed-" + seed));
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "dir", "cannot create the directory", failure);
    }
  }
}
