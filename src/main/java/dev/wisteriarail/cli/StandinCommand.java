package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.standin.StandinFile;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Runs the stand-ins listed in a settings file until the process is terminated. */
final class StandinCommand implements Command {

  @Override
  public String name() {
    return "standin";
  }

  @Override
  public String summary() {
    return "runs stand-ins for the log, the VM list, the weight store, engines and services";
  }

  @Override
  public String example() {
    return "wisteriarail standin --config standin.toml";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("config", "settings file").withRequiredArg().required();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    StandinFile file = StandinFile.read(Path.of((String) options.valueOf("config")));
    for (String line : file.start()) {
      out.println(line);
    }
    out.flush();
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }
}
