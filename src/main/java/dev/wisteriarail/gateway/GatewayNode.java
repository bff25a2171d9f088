package dev.wisteriarail.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.gateway.GatewayCore;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import dev.wisteriarail.core.gateway.GracePeriod;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.peer.TcpPeerServer;
import dev.wisteriarail.peer.TcpPeerTransport;
import dev.wisteriarail.runtime.EventLog;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.MonotonicClock;
import dev.wisteriarail.runtime.StartedParts;
import dev.wisteriarail.runtime.WallClock;
import dev.wisteriarail.settings.GatewayFile;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Assembles and runs a gateway node, which forwards opaque requests to runners.
 *
 * <p>Life cycle: {@link #start}, then {@link #stop}. Thread-safe.
 */
public final class GatewayNode {

  /** Upper bound on the threads that serve all connections; their tasks do not block. */
  private static final int MAX_THREADS = 24;

  private static final int MIN_THREADS = 6;

  /** Time after which an idle thread ends. */
  private static final int THREAD_IDLE_MILLIS = 60_000;

  /** Idle timeout of connections to runners; shorter than the runners' own. */
  private static final long RUNNER_IDLE_MILLIS = 900;

  /** Idle timeout of connections for the store, orders and reports, which are in constant use. */
  private static final long CONTROL_IDLE_MILLIS = 5_000;

  /**
   * The maximum heap divided by the default limit on held bytes. Reading and combining bytes copies
   * them once, so that held bytes take up to half of the heap.
   */
  private static final int HEAP_PER_HELD_BYTES = 4;

  /**
   * The maximum heap divided by the limit on buffered responses where held bytes have no limit. An
   * array that grows takes up to three times the bytes of its response.
   */
  private static final int HEAP_PER_BUFFERED_BYTES = 16;

  private final Incarnation incarnation;
  private volatile GatewayFile file;
  private final GatewayRuntime runtime;
  private final CallerServer callers;
  private final TcpPeerServer peerServer;
  private final TcpPeerTransport peers;
  private final List<HttpClient> clients;
  private final List<LifeCycle> sharedComponents;
  private final EventLog log;

  private GatewayNode(
      GatewayFile file,
      Incarnation incarnation,
      GatewayRuntime runtime,
      CallerServer callers,
      TcpPeerServer peerServer,
      TcpPeerTransport peers,
      List<HttpClient> clients,
      List<LifeCycle> shared,
      EventLog log) {
    this.file = file;
    this.incarnation = incarnation;
    this.runtime = runtime;
    this.callers = callers;
    this.peerServer = peerServer;
    this.peers = peers;
    this.clients = clients;
    this.sharedComponents = shared;
    this.log = log;
  }

  /**
   * Starts a node.
   *
   * @param file the node's settings
   * @param callerProtocol HTTP conventions of callers
   * @param runnerProtocol HTTP conventions of runners
   * @param platformClients creates the platform client for a store address
   * @throws SettingsException if the node cannot listen on a configured address
   */
  public static GatewayNode start(
      GatewayFile file,
      CallerProtocol callerProtocol,
      RunnerProtocol runnerProtocol,
      BiFunction<HttpClient, String, PlatformClient> platformClients)
      throws SettingsException {
    return start(file, callerProtocol, runnerProtocol, platformClients, () -> false);
  }

  /**
   * Starts a node unless its start is cancelled.
   *
   * @param cancelled returns whether the start is cancelled; has no effect once the node listens
   */
  public static GatewayNode start(
      GatewayFile file,
      CallerProtocol callerProtocol,
      RunnerProtocol runnerProtocol,
      BiFunction<HttpClient, String, PlatformClient> platformClients,
      BooleanSupplier cancelled)
      throws SettingsException {
    return start(
        file,
        callerProtocol,
        runnerProtocol,
        platformClients,
        log -> ListenerBinder.create(log::write, cancelled));
  }

  /** Starts a node with a given binder of its listeners. */
  static GatewayNode start(
      GatewayFile file,
      CallerProtocol callerProtocol,
      RunnerProtocol runnerProtocol,
      BiFunction<HttpClient, String, PlatformClient> platformClients,
      Function<EventLog, ListenerBinder> binders)
      throws SettingsException {
    InstantSource wallClock = WallClock.source();
    MonotonicClock clock = MonotonicClock.start(wallClock);
    Incarnation incarnation = Incarnation.of(clock.instant().toEpochMilli());
    try (StartedParts parts = StartedParts.create()) {
      EventLog log = EventLog.forNode(file.node());
      parts.add(log);
      log.write(
          NodeEvent.of(
              EventCode.NODE_STARTED,
              "incarnation",
              incarnation,
              "failure_domain",
              file.failureDomain()));
      ListenerBinder binder = binders.apply(log);
      ServerSocket peerSocket =
          binder.openSocket("gateway.peers", file.peers().host(), file.peers().port());
      parts.add(peerSocket);
      QueuedThreadPool threads =
          new QueuedThreadPool(MAX_THREADS, MIN_THREADS, THREAD_IDLE_MILLIS, 0, null, null);
      threads.setName("io");
      threads.setDaemon(true);
      Scheduler scheduler = new ScheduledExecutorScheduler("timer", true);
      parts.add(threads::stop);
      parts.add(scheduler::stop);
      GatewayHttp.startOrFail(threads);
      GatewayHttp.startOrFail(scheduler);
      BlockingQueue<GatewayEvent> events = GatewayRuntime.newQueue();
      GatewayMetrics metrics = GatewayMetrics.create();
      HeldBytes heldBytes = heldBytes(file);
      metrics.addHeldBytes(heldBytes);
      CallerServer callers =
          CallerServer.start(
              file,
              metrics,
              threads,
              scheduler,
              callerProtocol,
              heldBytes,
              events::add,
              log::write,
              binder);
      parts.add(callers);
      // Peers wait in the backlog until all addresses are bound.
      TcpPeerServer peerServer =
          TcpPeerServer.start(
              peerSocket,
              Optional.empty(),
              received -> {
                if (received.message() instanceof FleetMessage message) {
                  events.add(
                      new GatewayEvent.PeerMessageReceived(
                          received.from(), received.incarnation(), message));
                }
              },
              log);
      parts.add(peerServer);
      HttpClient pooled = GatewayHttp.start(threads, scheduler, RUNNER_IDLE_MILLIS, true);
      parts.add(pooled::stop);
      HttpClient unpooled = GatewayHttp.start(threads, scheduler, RUNNER_IDLE_MILLIS, false);
      parts.add(unpooled::stop);
      HttpClient control =
          GatewayHttp.startForControlCalls(threads, scheduler, CONTROL_IDLE_MILLIS);
      parts.add(control::stop);
      RunnerClient runners = new RunnerClient(pooled, unpooled, runnerProtocol, heldBytes);
      PlatformClient platform = platformClients.apply(control, file.storeAddress());
      TcpPeerTransport peers =
          TcpPeerTransport.create(file.node(), incarnation, Optional.empty(), log, metrics);
      GatewayRuntime runtime =
          new GatewayRuntime(
              GatewayCore.create(settings(file, incarnation)),
              callers,
              runners,
              platform,
              new PeerMessageSender(peers),
              log,
              metrics,
              clock,
              wallClock,
              events);
      runtime.start();
      parts.keep();
      return new GatewayNode(
          file,
          incarnation,
          runtime,
          callers,
          peerServer,
          peers,
          List.of(pooled, unpooled, control),
          List.of(scheduler, threads),
          log);
    }
  }

  /** Returns the account of held bytes, which has a limit if the settings ask for it. */
  private static HeldBytes heldBytes(GatewayFile file) {
    return file.memory()
        .map(
            memory ->
                memory.heldBytes().orElse(Runtime.getRuntime().maxMemory() / HEAP_PER_HELD_BYTES))
        .map(HeldBytes::withLimit)
        .orElseGet(
            () -> HeldBytes.countOnly(Runtime.getRuntime().maxMemory() / HEAP_PER_BUFFERED_BYTES));
  }

  private static GatewaySettings settings(GatewayFile file, Incarnation incarnation) {
    return new GatewaySettings(
        new NodeAddress(
            file.node(),
            incarnation,
            file.announced().host(),
            file.announced().port(),
            file.linkMbps(),
            file.milliCores()),
        file.failureDomain().value(),
        file.seeds(),
        file.timings(),
        file.retries(),
        file.allowances(),
        file.balance(),
        file.drainLimit(),
        file.revocation(),
        file.load());
  }

  /**
   * Reloads the settings. Changes of the retry and drain settings apply at once, others at the next
   * start; an invalid file is rejected without effect.
   *
   * @param path the settings file
   */
  public synchronized void reload(Path path) {
    try {
      GatewayFile newer = GatewayFile.read(path);
      log.write(
          NodeEvent.of(
              EventCode.NODE_RELOADED,
              "changed",
              newer.changedReloadableKeys(file),
              "at_next_start",
              newer.changedTablesRequiringRestart(file)));
      file = newer;
      runtime.submit(new GatewayEvent.SettingsReloaded(settings(newer, incarnation)));
    } catch (SettingsException mistake) {
      log.write(NodeEvent.of(EventCode.NODE_RELOADED, "refused", mistake.describe()));
    }
  }

  /**
   * Stops gracefully: waits for the requests in flight, within the configured drain limit.
   *
   * @return whether all of them ended within the limit
   */
  public boolean stop() throws InterruptedException {
    GracePeriod gracePeriod = new GracePeriod(file.drainLimit());
    Duration limit = gracePeriod.finalRefusalStart();
    long until = System.nanoTime() + limit.toNanos();
    final boolean drained = runtime.drain(limit);
    callers.awaitAnswers(Duration.ofNanos(until - System.nanoTime()));
    // The core normally ends every request itself; one that was stalled until now has not.
    callers.failPending();
    callers.closeConnections(gracePeriod.finalRefusalTime());
    log.write(
        NodeEvent.of(
            EventCode.NODE_ENDED,
            "drained",
            drained,
            "connections_left",
            callers.openConnections(),
            "requests_left",
            callers.pendingRequests()));
    kill();
    return drained;
  }

  /** Returns a future that completes if an error ends the node's core; the process should exit. */
  public CompletableFuture<Void> failure() {
    return runtime.failure();
  }

  /** Stops immediately, without waiting for requests in flight. */
  public void kill() {
    runtime.close();
    callers.close();
    peers.close();
    peerServer.close();
    clients.forEach(GatewayHttp::stop);
    sharedComponents.forEach(GatewayHttp::stop);
    log.close();
  }

  /** Returns the most recently loaded settings. */
  public GatewayFile file() {
    return file;
  }

  /** Returns the event log. */
  public EventLog log() {
    return log;
  }
}
