package dev.wisteriarail.http;

import java.util.concurrent.Executors;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers that run handlers on virtual threads. */
public final class JettyServers {

  private JettyServers() {}

  /**
   * Returns a server that has not been started.
   *
   * @param host IP address to listen on
   * @param port port to listen on; 0 for any free port
   * @param limits bounds on header size and idle time
   */
  public static Server create(String host, int port, HttpLimits limits) {
    QueuedThreadPool threads = new QueuedThreadPool();
    threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
    Server server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(limits.maxHeaderBytes());
    http.setSendServerVersion(false);
    ServerConnector connector = new ServerConnector(server, new HttpConnectionFactory(http));
    connector.setHost(host);
    connector.setPort(port);
    connector.setIdleTimeout(limits.idleTimeout().toMillis());
    server.addConnector(connector);
    return server;
  }

  /** Returns the port on which a started server listens. */
  public static int port(Server server) {
    return connector(server).getLocalPort();
  }

  /** Returns the listener of a server. */
  static ServerConnector connector(Server server) {
    return (ServerConnector) server.getConnectors()[0];
  }
}
