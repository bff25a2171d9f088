package dev.wisteriarail.logservice;

import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Starts and stops Jetty HTTP clients. Stateless. */
public final class HttpClients {

  private static final int MAX_CONNECTIONS_PER_ADDRESS = 1_024;

  /** Short, so that a node moves on to another address of the log if one does not accept. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

  /** Long, since callers have no other address and a busy node may take seconds to accept. */
  private static final Duration CALLER_CONNECT_TIMEOUT = Duration.ofSeconds(10);

  private HttpClients() {}

  /** Returns a started client for the calls of a node. */
  public static HttpClient start() {
    return startWith(CONNECT_TIMEOUT);
  }

  /** Returns a started client for the callers in the demo and the tools. */
  public static HttpClient startForCallers() {
    return startWith(CALLER_CONNECT_TIMEOUT);
  }

  private static HttpClient startWith(Duration connectTimeout) {
    HttpClient http = new HttpClient();
    http.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
    http.setConnectTimeout(connectTimeout.toMillis());
    http.setUserAgentField(null);
    QueuedThreadPool threads = new QueuedThreadPool();
    threads.setName("http-client");
    threads.setDaemon(true);
    http.setExecutor(threads);
    try {
      http.start();
    } catch (Exception failure) {
      throw new IllegalStateException("the HTTP client did not start", failure);
    }
    return http;
  }

  /** Stops a client; calls in progress fail. */
  public static void stop(HttpClient http) {
    try {
      http.stop();
    } catch (Exception failure) {
      LogManager.getLogger(HttpClients.class).warn("the HTTP client did not stop", failure);
    }
  }
}
