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

/** Soaks real processes under faults from outside. */
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
    return "runs real node processes under seeded faults and checks what callers see";
  }

  @Override
  public String example() {
    return "wisteriarail soak --seed 1 --seconds 20 --nodes 3";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts("seed", "seed of the first soak; each further one adds one")
        .withRequiredArg()
        .ofType(Long.class)
        .defaultsTo(DEFAULT_SEED);
    parser
        .accepts("runs", "number of soaks, one after the other")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_RUNS);
    parser
        .accepts("seconds", "for how long disturbances begin in each soak")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_SECONDS);
    parser
        .accepts("nodes", "number of node processes")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_NODES);
    parser
        .accepts("dir", "where settings and logs of the nodes are kept; a new directory if absent")
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
      Soak.Report report =
          Soak.run(
              seed,
              Duration.ofSeconds((Integer) options.valueOf("seconds")),
              (Integer) options.valueOf("nodes"),
              directory,
              out);
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
          ResultCode.SETTINGS_INVALID, "dir", "cannot make the directory", failure);
    }
  }
}
