package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.gateway.GatewayCore;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A gateway node: its core and the request state that the process keeps around it. Not thread-safe.
 *
 * <p>Life cycle: each call of {@link #start} begins a new incarnation with a new core.
 */
final class FuzzedNode {

  private final int number;
  private final GatewayDefect defect;
  private final Deque<GatewayEvent> backlog = new ArrayDeque<>();
  private final Map<Long, String> requestsByExchange = new HashMap<>();
  private final Set<Long> openExchanges = new HashSet<>();
  private final Map<Long, Set<Integer>> liveAttempts = new HashMap<>();
  private GatewayCore core;
  private long incarnation;
  private boolean up;
  private boolean paused;
  private boolean ready;
  private boolean wasReady;
  private Instant drainRequestedAt = Instant.MAX;
  private boolean storeCut;
  private boolean peersCut;
  private long version;
  private Instant startedAt = Instant.MAX;

  FuzzedNode(int number, GatewayDefect defect) {
    this.number = number;
    this.defect = defect;
  }

  /**
   * Starts a new incarnation; returns its number, which identifies late answers to earlier ones.
   */
  long start(Instant now) {
    incarnation++;
    startedAt = now;
    up = true;
    paused = false;
    ready = false;
    wasReady = false;
    version = 0;
    drainRequestedAt = Instant.MAX;
    backlog.clear();
    requestsByExchange.clear();
    openExchanges.clear();
    liveAttempts.clear();
    GatewaySettings settings =
        new GatewaySettings(
            address(),
            "a",
            List.of(),
            FleetTimings.DEFAULT.withOrders(Duration.ofSeconds(3), true),
            GatewayFuzzDeployment.RETRIES,
            AllowanceLimits.DEFAULT,
            GatewayFuzzDeployment.GRACE);
    core = GatewayCore.create(defect.alter(settings));
    return incarnation;
  }

  private NodeAddress address() {
    return new NodeAddress(
        NodeId.of("n" + number), Incarnation.of(incarnation), "10.0.0." + number, 7000, 1_000, 0);
  }

  void stop() {
    up = false;
    incarnation++;
  }

  /** Handles an event; a paused node queues it until it resumes. */
  List<GatewayEffect> handle(GatewayEvent event, Instant now) {
    if (!up) {
      return List.of();
    }
    if (paused) {
      if (!(event instanceof GatewayEvent.Tick)) {
        backlog.add(event);
      }
      return List.of();
    }
    if (event instanceof GatewayEvent.DrainRequested && drainRequestedAt.equals(Instant.MAX)) {
      drainRequestedAt = now;
    }
    List<GatewayEffect> effects = new ArrayList<>();
    for (GatewayEvent altered : defect.alter(event)) {
      for (GatewayEffect effect : core.handle(altered, now)) {
        effects.addAll(defect.alter(effect));
      }
    }
    return effects;
  }

  /** Records the version of an applied configuration; returns whether it increased. */
  boolean applyVersion(long newVersion) {
    boolean later = newVersion > version;
    version = newVersion;
    return later;
  }

  /** Returns whether the process runs and is not paused. */
  boolean runs() {
    return up && !paused;
  }

  void pause() {
    paused = true;
  }

  /** Resumes after a pause; returns the events that arrived meanwhile. */
  List<GatewayEvent> resume() {
    paused = false;
    List<GatewayEvent> missed = new ArrayList<>();
    missed.add(new GatewayEvent.Tick(true));
    missed.addAll(backlog);
    backlog.clear();
    return missed;
  }

  // Requests

  void open(long exchange, String request) {
    requestsByExchange.put(exchange, request);
    openExchanges.add(exchange);
  }

  /**
   * Returns the name of a request of this incarnation, or empty text if its caller disconnected.
   */
  String request(long exchange) {
    return requestsByExchange.getOrDefault(exchange, "");
  }

  boolean isOpen(long exchange) {
    return openExchanges.contains(exchange);
  }

  void close(long exchange) {
    openExchanges.remove(exchange);
    liveAttempts.remove(exchange);
  }

  /** Records that a caller disconnected; no outcome is expected any more. */
  void disconnect(long exchange) {
    close(exchange);
    requestsByExchange.remove(exchange);
  }

  void beginAttempt(long exchange, int attempt) {
    liveAttempts.computeIfAbsent(exchange, number -> new HashSet<>()).add(attempt);
  }

  void cancelAttempt(long exchange, int attempt) {
    liveAttempts.getOrDefault(exchange, new HashSet<>()).remove(attempt);
  }

  /** Returns whether an attempt may write to its caller. */
  boolean isLive(long exchange, int attempt) {
    return liveAttempts.getOrDefault(exchange, Set.of()).contains(attempt);
  }

  /**
   * Lets only the given attempt write to its caller from now on.
   *
   * @return the number of the newest other attempt that could write; 0 if there is none
   */
  int keepOnlyAttempt(long exchange, int attempt) {
    Set<Integer> live = liveAttempts.getOrDefault(exchange, new HashSet<>());
    live.remove(attempt);
    int newest = live.stream().mapToInt(Integer::intValue).max().orElse(0);
    live.clear();
    live.add(attempt);
    return newest;
  }

  // State

  void setReady(boolean isReady) {
    ready = isReady;
    wasReady |= isReady;
  }

  void setStoreCut(boolean cut) {
    storeCut = cut;
  }

  void setPeersCut(boolean cut) {
    peersCut = cut;
  }

  // Accessors

  int number() {
    return number;
  }

  long incarnation() {
    return incarnation;
  }

  boolean isUp() {
    return up;
  }

  boolean isReady() {
    return up && ready && !paused;
  }

  /** Returns whether callers can send: they keep their connections once the node was ready. */
  boolean acceptsRequests() {
    return up && wasReady && !paused;
  }

  /** Returns whether this incarnation has run for a time. */
  boolean hasRunFor(Duration time, Instant now) {
    return up && !now.isBefore(startedAt.plus(time));
  }

  /** Returns when this incarnation was asked to drain; {@link Instant#MAX} if it was not. */
  Instant drainRequestedAt() {
    return drainRequestedAt;
  }

  /** Returns the requests of this incarnation without an outcome whose callers are connected. */
  List<String> unfinishedRequests() {
    return openExchanges.stream().sorted().map(requestsByExchange::get).toList();
  }

  boolean isStoreCut() {
    return storeCut;
  }

  boolean isPeersCut() {
    return peersCut;
  }
}
