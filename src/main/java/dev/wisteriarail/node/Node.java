package dev.wisteriarail.node;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.engine.HttpEngineClient;
import dev.wisteriarail.http.CallerServer;
import dev.wisteriarail.http.ExchangeTable;
import dev.wisteriarail.http.NodeContext;
import dev.wisteriarail.http.NodeMetrics;
import dev.wisteriarail.http.StatusPage;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.logservice.HttpLogService;
import dev.wisteriarail.logservice.HttpVmList;
import dev.wisteriarail.peer.PeerTls;
import dev.wisteriarail.peer.PeerTrafficListener;
import dev.wisteriarail.peer.TcpPeerServer;
import dev.wisteriarail.peer.TcpPeerTransport;
import dev.wisteriarail.runtime.EventLog;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.MonotonicClock;
import dev.wisteriarail.runtime.NodeAdapters;
import dev.wisteriarail.runtime.NodeRuntime;
import dev.wisteriarail.runtime.StartedParts;
import dev.wisteriarail.settings.NodeFile;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;

/**
 * A node with its servers, assembled from its settings.
 *
 * <p>Life cycle: {@link #start}, then {@link #stop} for a graceful stop or {@link #kill} for an
 * abrupt one. Thread-safe.
 */
public final class Node {

  /** Time for writing the last answers before the connections are closed. */
  private static final Duration ANSWER_FLUSH_TIME = Duration.ofMillis(250);

  private final NodeFile file;
  private final NodeRuntime runtime;
  private final CallerServer callers;
  private final TcpPeerServer peers;
  private final ServerSocket peerSocket;
  private final HttpClient http;

  private Node(
      NodeFile file,
      NodeRuntime runtime,
      CallerServer callers,
      TcpPeerServer peers,
      ServerSocket peerSocket,
      HttpClient http) {
    this.file = file;
    this.runtime = runtime;
    this.callers = callers;
    this.peers = peers;
    this.peerSocket = peerSocket;
    this.http = http;
  }

  // Life cycle

  /**
   * Starts a node.
   *
   * @throws SettingsException if its settings cannot be used, for example a port cannot be bound
   */
  public static Node start(NodeFile file) throws SettingsException {
    return start(file, () -> false);
  }

  /**
   * Starts a node unless its start is cancelled.
   *
   * @param cancelled returns whether the start is cancelled; has no effect once the node listens
   */
  public static Node start(NodeFile file, BooleanSupplier cancelled) throws SettingsException {
    return start(file, log -> ListenerBinder.create(log::write, cancelled));
  }

  /** Starts a node with a given binder of its listeners. */
  static Node start(NodeFile file, Function<EventLog, ListenerBinder> binders)
      throws SettingsException {
    MonotonicClock clock = MonotonicClock.start();
    NodeSettings settings =
        new NodeSettings(
            file.node(),
            Incarnation.of(clock.instant().toEpochMilli()),
            file.failureDomain(),
            file.cell(),
            file.seed(),
            file.timings());
    Optional<PeerTls> tls = loadTls(file, clock);
    try (StartedParts parts = StartedParts.create()) {
      EventLog events = EventLog.forNode(file.node());
      parts.add(events);
      ListenerBinder binder = binders.apply(events);
      ServerSocket peerSocket =
          binder.openSocket("peer.port", file.peer().host(), file.peer().port());
      parts.add(peerSocket);
      HttpClient http = HttpClients.start();
      parts.add(() -> HttpClients.stop(http));
      AtomicReference<NodeRuntime> runtime = new AtomicReference<>();
      Consumer<Event> submit = event -> runtime.get().submit(event);
      ExchangeTable exchanges = ExchangeTable.create(submit);
      NodeAdapters adapters =
          new NodeAdapters(
              HttpEngineClient.create(
                  http, id -> Optional.ofNullable(runtime.get().configuration().runners().get(id))),
              HttpLogService.create(http, file.logAddress()),
              HttpVmList.create(http, file.vmListAddress()),
              TcpPeerTransport.create(
                  file.node(), settings.incarnation(), tls, events, PeerTrafficListener.NONE),
              exchanges,
              events);
      NodeCore core = NodeCore.create(settings, file.placement().planner());
      runtime.set(NodeRuntime.create(settings, core, adapters, clock));
      NodeContext context =
          new NodeContext(
              file.node(),
              settings.incarnation(),
              () -> runtime.get().configuration(),
              () -> runtime.get().isReady(),
              submit,
              clock,
              StatusPage.create(file.operatorTokenHash(), () -> runtime.get().status()));
      CallerServer callers =
          CallerServer.start(
              file.http().host(),
              file.http().port(),
              file.limits(),
              context,
              exchanges,
              NodeMetrics.create(),
              binder);
      parts.add(callers);
      // Peers wait in the backlog until all addresses are bound.
      TcpPeerServer peers = TcpPeerServer.start(peerSocket, tls, submit::accept, events);
      parts.add(peers);
      runtime.get().start();
      parts.keep();
      return new Node(file, runtime.get(), callers, peers, peerSocket, http);
    }
  }

  /**
   * Stops gracefully: waits for the requests in flight, then closes.
   *
   * @return whether all requests ended by themselves within the limit
   */
  public boolean stop() throws InterruptedException {
    boolean drained = runtime.drain(file.drainLimit());
    callers.close(ANSWER_FLUSH_TIME);
    kill();
    return drained;
  }

  /** Stops immediately, without waiting for requests in flight. */
  public void kill() {
    runtime.close();
    peers.close();
    callers.close();
    HttpClients.stop(http);
  }

  private static Optional<PeerTls> loadTls(NodeFile file, MonotonicClock clock)
      throws SettingsException {
    return file.peerTls().isPresent()
        ? Optional.of(PeerTls.load(file.peerTls().get(), clock))
        : Optional.empty();
  }

  // Accessors

  /** Returns this node's entry for the VM list. */
  public VmEntry vmEntry() {
    return new VmEntry(
        file.node(), file.peer().host(), peerSocket.getLocalPort(), file.failureDomain(), false);
  }

  /** Returns the base address for callers. */
  public String address() {
    return "http://" + file.http().host() + ":" + callers.port();
  }

  /** Returns the runtime. */
  public NodeRuntime runtime() {
    return runtime;
  }
}
