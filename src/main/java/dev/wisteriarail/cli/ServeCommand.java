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
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.spi.LoggerContext;

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
    // A signal can arrive at any moment of the start; its handler waits for the start to end.
    CompletableFuture<Optional<Server>> started = new CompletableFuture<>();
    CountDownLatch stopped = new CountDownLatch(1);
    AtomicBoolean stopRequested = new AtomicBoolean();
    HangupSignal.handle(() -> started.join().ifPresent(server -> server.reload().run()));
    // Log4j cannot be initialized any more once the process shuts down.
    LoggerContext _ = LogManager.getContext(false);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stopRequested.set(true);
                  started.join().ifPresent(server -> stopGracefully(server, stopped));
                }));
    try {
      TomlDocument toml = TomlDocument.read(path);
      started.complete(
          Optional.of(
              GatewayFile.isGatewayFile(toml)
                  ? startGateway(path, toml, stopRequested::get)
                  : startNode(path, out, stopRequested::get)));
    } finally {
      started.complete(Optional.empty());
    }
    stopped.await();
    return ExitCode.SUCCESS;
  }

  private static Server startNode(Path path, PrintStream out, BooleanSupplier cancelled)
      throws WisteriarailException {
    Node node = Node.start(NodeFile.read(path), cancelled);
    out.println("serving callers at " + node.address());
    out.flush();
    return new Server(node::stop, () -> System.exit(ExitCode.SUCCESS.status()));
  }

  private static Server startGateway(Path path, TomlDocument toml, BooleanSupplier cancelled)
      throws WisteriarailException {
    GatewayNode node =
        GatewayNode.start(
            GatewayFile.from(toml),
            CallerHeaders.create(),
            RunnerHeaders.create(),
            HttpPlatformClient::create,
            cancelled);
    CompletableFuture<Void> _ =
        node.failure().thenRunAsync(() -> System.exit(ExitCode.FAILED.status()));
    return new Server(node::stop, () -> node.reload(path));
  }

  /**
   * A started node.
   *
   * @param stop stops the node gracefully
   * @param reload handles SIGHUP: reads the settings again, or ends the process if the node cannot
   */
  private record Server(GracefulStop stop, Runnable reload) {}

  /** Stops a node; returns whether it finished with no request in flight. */
  private interface GracefulStop {
    boolean run() throws InterruptedException;
  }

  private static void stopGracefully(Server server, CountDownLatch stopped) {
    try {
      boolean drained = server.stop().run();
      LogManager.shutdown();
      Runtime.getRuntime().halt(drained ? ExitCode.SUCCESS.status() : ExitCode.FAILED.status());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      stopped.countDown();
    }
  }
}
