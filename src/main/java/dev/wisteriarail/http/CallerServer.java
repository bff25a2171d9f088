package dev.wisteriarail.http;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.StartedParts;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;

/**
 * The HTTP server for callers.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class CallerServer implements AutoCloseable {

  private final Server server;

  private CallerServer(Server server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param host IP address to listen on
   * @param port port to listen on; 0 for any free port
   * @param binder opens the listener
   * @throws SettingsException if the port cannot be bound
   */
  public static CallerServer start(
      String host,
      int port,
      HttpLimits limits,
      NodeContext node,
      ExchangeTable exchanges,
      NodeMetrics metrics,
      ListenerBinder binder)
      throws SettingsException {
    Server server = JettyServers.create(host, port, limits);
    server.setErrorHandler(new ProblemErrorHandler());
    server.setHandler(new GracefulHandler(new CallerHandler(node, exchanges, limits, metrics)));
    try (StartedParts parts = StartedParts.create()) {
      parts.add(server::stop);
      ServerConnector connector = JettyServers.connector(server);
      binder.open("http.port", host, port, connector::open);
      parts.add((ServerSocketChannel) connector.getTransport());
      server.start();
      parts.keep();
    } catch (SettingsException unavailable) {
      throw unavailable;
    } catch (Exception failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "http", "the server for callers did not start", failure);
    }
    return new CallerServer(server);
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return JettyServers.port(server);
  }

  /** Stops once the answers in progress are written, or when the limit is reached. */
  public void close(Duration limit) {
    server.setStopTimeout(limit.toMillis());
    close();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception failure) {
      LogManager.getLogger(CallerServer.class).warn("the HTTP server did not stop", failure);
    }
  }
}
