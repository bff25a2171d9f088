package dev.wisteriarail.gateway;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/** Creates and stops Jetty clients that forward requests and responses unmodified. Thread-safe. */
public final class GatewayHttp {

  /** Connections to one address; a runner accepts fewer than this from all nodes together. */
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 512;

  /** A connection is established in about a millisecond; an unreachable host never answers. */
  private static final long CONNECT_TIMEOUT_MILLIS = 300;

  /** Maximum size of a response head, in bytes; valid ones have a few hundred bytes. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  private GatewayHttp() {}

  /**
   * Returns a started client that follows no redirects, decodes no content, stores no cookies and
   * adds no headers.
   *
   * @param threads thread pool shared with other clients and servers
   * @param scheduler timer shared with them
   * @param idleMillis time after which an unused connection is closed
   * @param reuse whether a connection may serve more than one request
   */
  public static HttpClient start(
      QueuedThreadPool threads, Scheduler scheduler, long idleMillis, boolean reuse) {
    return startClient(threads, scheduler, idleMillis, reuse, false);
  }

  /**
   * Returns a started client for control calls. It behaves like {@link #start}, except that it
   * resets connections instead of closing them. Otherwise the kernel would deliver the bytes of a
   * call that was given up as soon as an interrupted network path works again, which may be long
   * after the lease under which the call was made.
   *
   * @param threads thread pool shared with other clients and servers
   * @param scheduler timer shared with them
   * @param idleMillis time after which an unused connection is closed
   */
  public static HttpClient startForControlCalls(
      QueuedThreadPool threads, Scheduler scheduler, long idleMillis) {
    return startClient(threads, scheduler, idleMillis, true, true);
  }

  private static HttpClient startClient(
      QueuedThreadPool threads,
      Scheduler scheduler,
      long idleMillis,
      boolean reuse,
      boolean resetOnClose) {
    ClientConnector connector = new ResetAwareConnector(resetOnClose);
    connector.setSelectors(1);
    connector.setExecutor(threads);
    connector.setScheduler(scheduler);
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    transport.setConnectionPoolFactory(
        destination -> {
          DuplexConnectionPool pool =
              new DuplexConnectionPool(destination, MAX_CONNECTIONS_PER_ADDRESS);
          pool.setMaxUsage(reuse ? -1 : 1);
          return pool;
        });
    HttpClient http = new HttpClient(transport);
    http.setExecutor(threads);
    http.setScheduler(scheduler);
    http.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
    http.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    http.setIdleTimeout(idleMillis);
    http.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    http.setUserAgentField(null);
    http.setFollowRedirects(false);
    http.setSocketAddressResolver(new SocketAddressResolver.Sync());
    startOrFail(http);
    http.getContentDecoderFactories().clear();
    http.getProtocolHandlers().clear();
    return http;
  }

  /**
   * Records progress of a response: its head is complete, or a part of its body arrived. An interim
   * (1xx) response aborts the request: none is ever requested, and the client would wait
   * indefinitely for the final one.
   */
  public static void recordProgress(Response response) {
    if (HttpStatus.isInformational(response.getStatus())) {
      CompletableFuture<Boolean> _ = response.abort(new EofException("an interim (1xx) response"));
    } else if (response.getRequest().getConnection() instanceof Connection connection
        && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint) {
      endPoint.recordProgress();
    }
  }

  /**
   * Returns whether a part of a response arrived within the given time on the connection on which a
   * request begins. Otherwise its bytes may wait in a buffer: of an interrupted path, or of a
   * server that has not accepted the connection yet.
   */
  public static boolean hasConnectionAnsweredWithin(Request request, Duration time) {
    return request.getConnection() instanceof Connection connection
        && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint
        && endPoint.hasAnsweredWithin(time);
  }

  /** Returns whether a response is the first one on its connection. */
  public static boolean isFirstOnConnection(Response response) {
    return response.getRequest().getConnection() instanceof Connection connection
        && connection.getMessagesIn() == 0;
  }

  /**
   * Opens connections without TLS on which a reset is an error rather than the end of a response.
   */
  private static final class ResetAwareConnector extends ClientConnector {

    private final boolean resetOnClose;

    ResetAwareConnector(boolean resetOnClose) {
      this.resetOnClose = resetOnClose;
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
      return new DisabledTls();
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      return new ResetAwareEndPoint(
          (SocketChannel) channel, selector, key, getScheduler(), resetOnClose);
    }
  }

  /**
   * Loads no certificates; loading them takes a quarter of the time that the first client needs to
   * start.
   */
  private static final class DisabledTls extends SslContextFactory.Client {

    @Override
    protected void doStart() {
      // Requests to https URLs fail, because no SSL context is created.
    }
  }

  /** Starts a Jetty component that uses no external resource and so is expected not to fail. */
  static void startOrFail(LifeCycle part) {
    try {
      part.start();
    } catch (Exception failure) {
      throw new IllegalStateException("a Jetty component failed to start", failure);
    }
  }

  /** Stops a Jetty component; requests in progress fail. */
  static void stop(LifeCycle part) {
    try {
      part.stop();
    } catch (Exception failure) {
      LogManager.getLogger(GatewayHttp.class).warn("a Jetty component failed to stop", failure);
    }
  }
}
