package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.node.Node;
import dev.wisteriarail.settings.NodeFile;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.apache.logging.log4j.LogManager;

/** Runs one node until the process is told to stop. */
final class ServeCommand implements Command {

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "runs one node; SIGTERM stops it gracefully";
  }

  @Override
  public String example() {
    return "wisteriarail serve --config node.toml";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("config", "settings file").withRequiredArg().required();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    Node node = Node.start(NodeFile.read(Path.of((String) options.valueOf("config"))));
    out.println("serving callers at " + node.address());
    out.flush();
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopGracefully(node, stopped)));
    stopped.await();
    return ExitCode.SUCCESS;
  }

  private static void stopGracefully(Node node, CountDownLatch stopped) {
    try {
      boolean drained = node.stop();
      LogManager.shutdown();
      Runtime.getRuntime().halt(drained ? ExitCode.SUCCESS.status() : ExitCode.FAILED.status());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }
}
