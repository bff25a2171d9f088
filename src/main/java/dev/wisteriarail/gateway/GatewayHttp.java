package dev.wisteriarail.gateway;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
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

/** Builds Jetty clients that change nothing on their own. */
public final class GatewayHttp {

  /** Connections to one address; runners accept fewer from all nodes together. */
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 512;

  /** A connection is there after about a millisecond; a dark address never answers. */
  private static final long CONNECT_TIMEOUT_MILLIS = 300;

  /** Longest head of an answer, in bytes; sound ones have some hundred. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  private GatewayHttp() {}

  /**
   * Returns a started client: no redirects, no decoding, no cookies, no headers of its own.
   *
   * @param threads the threads that it shares with other clients and servers
   * @param scheduler the timer that it shares with them
   * @param idleMillis time after which an unused connection is closed
   * @param reuse whether a connection serves more than one request
   */
  public static HttpClient start(
      QueuedThreadPool threads, Scheduler scheduler, long idleMillis, boolean reuse) {
    ClientConnector connector = new ResetAwareConnector();
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
   * Notes that an answer goes on: its head is whole, or a part of its body came. An interim answer
   * ends the request, as nobody asks for one and the client would wait for ever after it.
   */
  public static void recordProgress(Response response) {
    if (HttpStatus.isInformational(response.getStatus())) {
      CompletableFuture<Boolean> _ = response.abort(new EofException("an interim answer"));
    } else if (response.getRequest().getConnection() instanceof Connection connection
        && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint) {
      endPoint.recordProgress();
    }
  }

  /** Opens connections on which a reset is an error and not the end of an answer; none use TLS. */
  private static final class ResetAwareConnector extends ClientConnector {

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
      return new DisabledTls();
    }

    @Override
    protected EndPoint newEndPoint(
        SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
      return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }
  }

  /** Reads no certificates: that is a quarter of the start of the first client. */
  private static final class DisabledTls extends SslContextFactory.Client {

    @Override
    protected void doStart() {
      // Calls with https fail, as no context was made.
    }
  }

  /** Starts a part of Jetty that needs nothing from outside. */
  static void startOrFail(LifeCycle part) {
    try {
      part.start();
    } catch (Exception failure) {
      throw new IllegalStateException("a part of Jetty did not start", failure);
    }
  }

  /** Stops a part of Jetty; calls in progress fail. */
  static void stop(LifeCycle part) {
    try {
      part.stop();
    } catch (Exception failure) {
      LogManager.getLogger(GatewayHttp.class).warn("a part of Jetty did not stop", failure);
    }
  }
}
