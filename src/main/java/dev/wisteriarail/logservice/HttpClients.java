package dev.wisteriarail.logservice;

import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Starts and stops Jetty HTTP clients. */
public final class HttpClients {

  private static final int CONNECTIONS_PER_ADDRESS = 1_024;
  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private HttpClients() {}

  /** Returns a started client. */
  public static HttpClient start() {
    HttpClient http = new HttpClient();
    http.setMaxConnectionsPerDestination(CONNECTIONS_PER_ADDRESS);
    http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
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
