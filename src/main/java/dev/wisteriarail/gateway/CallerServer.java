package dev.wisteriarail.gateway;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.core.route.CallerBounds;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.StartedParts;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.settings.GatewayFile;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * HTTP server for callers, the load balancer's readiness check and the scraping of metrics.
 *
 * <p>A request is submitted to the core once its body is read completely. It is refused before that
 * if the account of held bytes has no space for its body. Life cycle: {@link #start}, then {@link
 * #close}. Thread-safe.
 */
final class CallerServer implements AutoCloseable {

  // Names of the listeners, which are also the keys of their addresses in the settings.
  private static final String CALLERS = "callers";
  private static final String READY = "balancer";
  private static final String METRICS = "metrics";

  /** Length of the listen backlog; a burst of new connections must not overflow it. */
  private static final int ACCEPT_QUEUE = 512;

  /** Interval at which the callers' connections are polled while the node stops. */
  private static final Duration CLOSE_POLL_INTERVAL = Duration.ofMillis(10);

  /** Time for which a new connection is not idle: its first request is on its way. */
  private static final Duration FIRST_REQUEST_TIME = Duration.ofSeconds(1);

  /**
   * Minimum size, in bytes, up to which a connection's parser accepts a header. A parser keeps the
   * limit that was set when its connection was opened; it therefore accepts at least this many
   * bytes, and the complete header is checked against the bounds currently configured.
   */
  private static final int MIN_PARSED_HEADER_BYTES = 64 * 1024;

  /** Time after which a request that the account of held bytes refused may return. */
  private static final Duration RETRY_AFTER_MEMORY_FULL = Duration.ofSeconds(1);

  /** Minimum bytes of a request line in addition to its method and target. */
  private static final int REQUEST_LINE_OVERHEAD_BYTES = " HTTP/1.1\r\n".length() + 1;

  /** Minimum bytes of a header field in addition to its name and value. */
  private static final int HEADER_FIELD_OVERHEAD_BYTES = ":\r\n".length();

  private final Server server;
  private final CallerProtocol protocol;
  private final GatewayMetrics metrics;
  private final HeldBytes heldBytes;
  private final Consumer<GatewayEvent> events;
  private final Consumer<NodeEvent> log;
  private final Map<Long, CallerExchange> exchanges = new ConcurrentHashMap<>();

  /** Connections on which a request is in progress. */
  private final BusyConnections<EndPoint> busyConnections =
      BusyConnections.create(EndPoint::isOpen);

  private final AtomicLong lastExchange = new AtomicLong();
  private volatile CallerBounds bounds = CallerBounds.DEFAULT;
  private volatile boolean ready;
  private volatile boolean closing;

  /** Whether new requests are refused here, because the core may not handle them any more. */
  private volatile boolean refusing;

  private CallerServer(
      Server server,
      CallerProtocol protocol,
      GatewayMetrics metrics,
      HeldBytes heldBytes,
      Consumer<GatewayEvent> events,
      Consumer<NodeEvent> log) {
    this.server = server;
    this.protocol = protocol;
    this.metrics = metrics;
    this.heldBytes = heldBytes;
    this.events = events;
    this.log = log;
  }

  /**
   * Starts the server.
   *
   * @throws SettingsException if an address cannot be bound
   */
  static CallerServer start(
      GatewayFile file,
      GatewayMetrics metrics,
      QueuedThreadPool threads,
      Scheduler scheduler,
      CallerProtocol protocol,
      HeldBytes heldBytes,
      Consumer<GatewayEvent> events,
      Consumer<NodeEvent> log,
      ListenerBinder binder)
      throws SettingsException {
    Server server = new Server(threads, scheduler, null);
    final CallerServer callerServer =
        new CallerServer(server, protocol, metrics, heldBytes, events, log);
    file.metrics().ifPresent(at -> server.addConnector(connector(server, at, METRICS)));
    server.addConnector(connector(server, file.balancer(), READY));
    server.addConnector(connector(server, file.callers(), CALLERS));
    server.setHandler(
        new Handler.Abstract.NonBlocking() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            return callerServer.handle(request, response, callback);
          }
        });
    server.setStopTimeout(0);
    try (StartedParts parts = StartedParts.create()) {
      parts.add(server::stop);
      for (var each : server.getConnectors()) {
        ServerConnector connector = (ServerConnector) each;
        binder.open(
            "gateway." + connector.getName(),
            connector.getHost(),
            connector.getPort(),
            connector::open);
        parts.add((ServerSocketChannel) connector.getTransport());
      }
      GatewayHttp.startOrFail(server);
      parts.keep();
    }
    return callerServer;
  }

  private static ServerConnector connector(Server server, Endpoint endpoint, String name) {
    HttpConfiguration http = new HttpConfiguration();
    http.setRequestHeaderSize(MIN_PARSED_HEADER_BYTES);
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setHttpCompliance(HttpCompliance.STRICT);
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setOutputAggregationSize(0);
    ServerConnector connector =
        new ServerConnector(server, null, null, null, 0, 1, new HttpConnectionFactory(http)) {
          @Override
          protected SocketChannelEndPoint newEndPoint(
              SocketChannel channel, ManagedSelector selector, SelectionKey key) {
            SocketChannelEndPoint endPoint =
                new PeekingEndPoint(channel, selector, key, getScheduler());
            endPoint.setIdleTimeout(getIdleTimeout());
            return endPoint;
          }
        };
    connector.setHost(endpoint.host());
    connector.setPort(endpoint.port());
    connector.setName(name);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    connector.setIdleTimeout(CallerBounds.DEFAULT.idleTimeout().toMillis());
    return connector;
  }

  // Requests

  private boolean handle(Request request, Response response, Callback callback) {
    switch (request.getConnectionMetaData().getConnector().getName()) {
      case READY -> answerReadiness(request, response, callback);
      case METRICS -> answerMetrics(response, callback);
      default -> handleCaller(request, response, callback);
    }
    return true;
  }

  private void handleCaller(Request request, Response response, Callback callback) {
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    boolean served = busyConnections.requestStarted(endPoint);
    Callback ended = Callback.from(callback, () -> busyConnections.requestEnded(endPoint));
    if (served) {
      readBody(request, response, ended);
    } else {
      refuseEarly(request, response, ended, ResultCode.DRAINING, Optional.of(Duration.ZERO));
    }
  }

  private void answerReadiness(Request request, Response response, Callback callback) {
    boolean pathMatches = request.getHttpURI().getPath().equals(protocol.readinessPath());
    response.setStatus(pathMatches ? (ready ? 200 : 503) : 404);
    callback.succeeded();
  }

  private void answerMetrics(Response response, Callback callback) {
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
    response.write(true, ByteBuffer.wrap(metrics.scrape().getBytes(UTF_8)), callback);
  }

  private void readBody(Request request, Response response, Callback callback) {
    if (headerBytes(request) > bounds.maxHeaderBytes()) {
      refuseEarly(request, response, callback, ResultCode.HEADERS_TOO_LARGE, Optional.empty());
      return;
    }
    request.addIdleTimeoutListener(timeout -> false);
    long limit = bounds.maxBodyBytes();
    if (request.getLength() > limit) {
      refuseEarly(request, response, callback, ResultCode.REQUEST_TOO_LARGE, Optional.empty());
      return;
    }
    HeldBytes.Holding holding = heldBytes.open(HeldBytes.Kind.REQUEST_BODY);
    Callback released = Callback.from(callback, holding::close);
    RequestBodyReader.read(
        request,
        limit,
        holding,
        body -> submit(request, response, released, body),
        code -> {
          holding.close();
          if (code == ResultCode.MEMORY_FULL) {
            logMemoryFull(request);
          }
          Optional<Duration> retryAfter =
              Optional.of(RETRY_AFTER_MEMORY_FULL).filter(time -> code == ResultCode.MEMORY_FULL);
          refuseEarly(request, response, released, code, retryAfter);
        });
  }

  /** Logs a refusal that the core does not know of. */
  private void logMemoryFull(Request request) {
    NodeEvent event =
        NodeEvent.of(
            EventCode.FORWARD_REFUSED,
            "request",
            protocol.requestId(request),
            "code",
            ResultCode.MEMORY_FULL.label(),
            "held_ms",
            0,
            "attempts",
            0,
            "may_have_run",
            false,
            "body_bytes",
            request.getLength(),
            "held_percent",
            Math.round(100 * heldBytes.pressure()),
            "return_after_ms",
            RETRY_AFTER_MEMORY_FULL.toMillis());
    metrics.count(event);
    log.accept(event);
  }

  private static int headerBytes(Request request) {
    int bytes = request.getMethod().length() + REQUEST_LINE_OVERHEAD_BYTES + "\r\n".length();
    String target = request.getHttpURI().getPathQuery();
    bytes += target == null ? 0 : target.length();
    for (HttpField field : request.getHeaders()) {
      String value = field.getValue();
      bytes +=
          field.getName().length()
              + (value == null ? 0 : value.length())
              + HEADER_FIELD_OVERHEAD_BYTES;
    }
    return bytes;
  }

  private void submit(Request request, Response response, Callback callback, byte[] body) {
    long exchangeNumber = lastExchange.incrementAndGet();
    ForwardRequest forward;
    try {
      forward = protocol.parseRequest(exchangeNumber, request, body);
    } catch (WisteriarailException malformed) {
      refuseEarly(request, response, callback, malformed.code(), Optional.empty());
      return;
    }
    CallerExchange exchange =
        new CallerExchange(
            forward,
            request,
            response,
            Callback.from(callback, () -> exchanges.remove(exchangeNumber)),
            body,
            heldBytes);
    if (closing) {
      exchange.closeAfterAnswer();
    }
    // The order matters: failPending ends a request that does not see the flag.
    exchanges.put(exchangeNumber, exchange);
    if (refusing) {
      refuse(exchangeNumber, ResultCode.DRAINING, Optional.of(Duration.ZERO));
    } else {
      events.accept(new GatewayEvent.RequestArrived(forward));
    }
  }

  private void refuseEarly(
      Request request,
      Response response,
      Callback callback,
      ResultCode code,
      Optional<Duration> retryAfter) {
    response.setStatus(code.httpStatus());
    protocol.refusalHeaders(request, code, retryAfter).forEach(response.getHeaders()::add);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
    boolean bodyUnread =
        code == ResultCode.REQUEST_TOO_LARGE
            || code == ResultCode.HEADERS_TOO_LARGE
            || code == ResultCode.MEMORY_FULL;
    if (closing || bodyUnread || code.httpStatus() == 400) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    if (bodyUnread) {
      response.write(
          true,
          ByteBuffer.allocate(0),
          RequestBodyDiscarder.discardThenComplete(request, callback));
    } else {
      callback.succeeded();
    }
  }

  // Responses

  /** Returns the exchange with a number; empty if its response has ended. */
  Optional<CallerExchange> exchange(long number) {
    return Optional.ofNullable(exchanges.get(number));
  }

  /** Sends a refusal for a request; aborts the response if it has already started. */
  void refuse(long number, ResultCode code, Optional<Duration> retryAfter) {
    CallerExchange exchange = exchanges.get(number);
    if (exchange != null) {
      HttpFields headers = protocol.refusalHeaders(exchange.request(), code, retryAfter);
      exchange.fail(code.httpStatus(), headers);
    }
  }

  /**
   * Ends every pending exchange with {@link ResultCode#OUTCOME_UNKNOWN}. Requests that are read
   * later are refused and not submitted to the core.
   */
  void failPending() {
    refusing = true;
    exchanges.keySet().forEach(each -> refuse(each, ResultCode.OUTCOME_UNKNOWN, Optional.empty()));
  }

  // Connections

  /** Reports to the core the callers that disconnected while their request was in progress. */
  void reportDisconnected() {
    exchanges.forEach(
        (number, exchange) -> {
          if (!exchange.isEnded() && exchange.isCallerDisconnected()) {
            events.accept(new GatewayEvent.CallerDisconnected(number));
            exchange.abort();
            exchanges.remove(number);
          }
        });
  }

  /**
   * Sets new bounds on what callers may send. The bounds on header and body apply to all later
   * requests; open connections keep their idle timeout and their parser's header limit.
   */
  void setBounds(CallerBounds newBounds) {
    bounds = newBounds;
    int parsedHeaderBytes = Math.max(MIN_PARSED_HEADER_BYTES, newBounds.maxHeaderBytes());
    for (var connector : server.getConnectors()) {
      ((ServerConnector) connector).setIdleTimeout(newBounds.idleTimeout().toMillis());
      connector
          .getConnectionFactory(HttpConnectionFactory.class)
          .getHttpConfiguration()
          .setRequestHeaderSize(parsedHeaderBytes);
    }
  }

  void setReady(boolean isReady) {
    ready = isReady;
  }

  /** Closes every connection after its current or next response. */
  void closeAfterAnswers() {
    closing = true;
    exchanges.values().forEach(CallerExchange::closeAfterAnswer);
  }

  /** Closes the callers' connections without a request in progress. */
  void closeIdle() {
    callerConnections().stream()
        .filter(each -> !awaitsFirstRequest(each))
        .forEach(each -> busyConnections.closeIfIdle(each, EndPoint::close));
  }

  private static boolean awaitsFirstRequest(EndPoint connection) {
    return connection instanceof PeekingEndPoint peeking
        && peeking.awaitsFirstRequest(FIRST_REQUEST_TIME);
  }

  /**
   * Waits until all pending responses are written.
   *
   * @param limit maximum time to wait; does not wait if it is zero or negative
   */
  void awaitAnswers(Duration limit) throws InterruptedException {
    long until = System.nanoTime() + limit.toNanos();
    while (!exchanges.isEmpty() && System.nanoTime() < until) {
      Thread.sleep(CLOSE_POLL_INTERVAL);
    }
  }

  /**
   * Closes callers' connections as they become idle, and waits until all are closed or the limit is
   * reached. Requests that still arrive are refused.
   */
  void closeConnections(Duration limit) throws InterruptedException {
    long until = System.nanoTime() + limit.toNanos();
    while (!callerConnections().isEmpty() && System.nanoTime() < until) {
      closeIdle();
      Thread.sleep(CLOSE_POLL_INTERVAL);
    }
  }

  /** Returns the number of open connections of callers. */
  int openConnections() {
    return callerConnections().size();
  }

  /** Returns the number of requests whose response has not ended. */
  int pendingRequests() {
    return exchanges.size();
  }

  private List<EndPoint> callerConnections() {
    List<EndPoint> connections = new ArrayList<>();
    for (var connector : server.getConnectors()) {
      if (!READY.equals(connector.getName()) && !METRICS.equals(connector.getName())) {
        connections.addAll(connector.getConnectedEndPoints());
      }
    }
    return connections;
  }

  @Override
  public void close() {
    GatewayHttp.stop(server);
  }
}
