package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.gateway.GatewayNode;
import dev.wisteriarail.node.Node;
import dev.wisteriarail.platform.CallerHeaders;
import dev.wisteriarail.platform.HttpPlatformClient;
import dev.wisteriarail.platform.RunnerHeaders;
import dev.wisteriarail.settings.GatewayFile;
import dev.wisteriarail.settings.NodeFile;
import dev.wisteriarail.settings.TomlDocument;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.apache.logging.log4j.LogManager;

/** Runs one node or gateway node until the process receives a termination signal. */
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
    Path path = Path.of((String) options.valueOf("config"));
    TomlDocument toml = TomlDocument.read(path);
    Stoppable server =
        GatewayFile.isGatewayFile(toml) ? startGateway(path, toml) : startNode(path, out);
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopGracefully(server, stopped)));
    stopped.await();
    return ExitCode.SUCCESS;
  }

  private static Stoppable startNode(Path path, PrintStream out) throws WisteriarailException {
    Node node = Node.start(NodeFile.read(path));
    out.println("serving callers at " + node.address());
    out.flush();
    return node::stop;
  }

  private static Stoppable startGateway(Path path, TomlDocument toml) throws WisteriarailException {
    GatewayNode node =
        GatewayNode.start(
            GatewayFile.from(toml),
            CallerHeaders.create(),
            RunnerHeaders.create(),
            HttpPlatformClient::create);
    HangupSignal.handle(() -> node.reload(path));
    CompletableFuture<Void> _ =
        node.failure().thenRunAsync(() -> System.exit(ExitCode.FAILED.status()));
    return node::stop;
  }

  /** A node that can be stopped gracefully. */
  private interface Stoppable {

    /** Stops the node; returns whether it finished with no request in flight. */
    boolean stop() throws InterruptedException;
  }

  private static void stopGracefully(Stoppable server, CountDownLatch stopped) {
    try {
      boolean drained = server.stop();
      LogManager.shutdown();
      Runtime.getRuntime().halt(drained ? ExitCode.SUCCESS.status() : ExitCode.FAILED.status());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }
}
