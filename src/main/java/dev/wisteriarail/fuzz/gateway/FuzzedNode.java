package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetTimings;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.gateway.GatewayCore;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
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
 * One node: its core, and what a process keeps beside it. Not thread-safe.
 *
 * <p>Life cycle: runs follow each other; each begins with {@link #start} and a new core.
 */
final class FuzzedNode {

  private final int number;
  private final GatewayDefect defect;
  private final Deque<GatewayEvent> backlog = new ArrayDeque<>();
  private final Map<Long, String> exchanges = new HashMap<>();
  private final Set<Long> open = new HashSet<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private GatewayCore core;
  private long run;
  private boolean up;
  private boolean paused;
  private boolean ready;
  private boolean wasReady;
  private Instant stopsSince = Instant.MAX;
  private boolean storeCut;
  private boolean peersCut;
  private long version;

  FuzzedNode(int number, GatewayDefect defect) {
    this.number = number;
    this.defect = defect;
  }

  /** Begins a run; returns its number, by which late answers to earlier runs are told. */
  long start() {
    run++;
    up = true;
    paused = false;
    ready = false;
    wasReady = false;
    version = 0;
    stopsSince = Instant.MAX;
    backlog.clear();
    exchanges.clear();
    open.clear();
    attempts.clear();
    GatewaySettings settings =
        new GatewaySettings(
            address(),
            "a",
            List.of(),
            FleetTimings.DEFAULT.withOrders(Duration.ofSeconds(3), true),
            GatewayFuzzPlan.RETRIES,
            Duration.ofSeconds(8));
    core = GatewayCore.create(defect.alter(settings));
    return run;
  }

  private NodeAddress address() {
    return new NodeAddress(
        NodeId.of("n" + number), Incarnation.of(run), "10.0.0." + number, 7000, 1_000, 0);
  }

  void stop() {
    up = false;
    run++;
  }

  /** Takes an event; a node that stands still takes it when it goes on. */
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
    if (event instanceof GatewayEvent.DrainRequested && stopsSince.equals(Instant.MAX)) {
      stopsSince = now;
    }
    List<GatewayEffect> effects = new ArrayList<>();
    for (GatewayEvent altered : defect.alter(event)) {
      for (GatewayEffect effect : core.handle(altered, now)) {
        effects.addAll(defect.alter(effect));
      }
    }
    return effects;
  }

  /** Notes the version of a configuration that comes into force; returns whether it is later. */
  boolean applies(long newVersion) {
    boolean later = newVersion > version;
    version = newVersion;
    return later;
  }

  /** Returns whether it takes events now. */
  boolean runs() {
    return up && !paused;
  }

  void pause() {
    paused = true;
  }

  /** Goes on after a pause; returns what came meanwhile. */
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
    exchanges.put(exchange, request);
    open.add(exchange);
  }

  /** Returns the caller's name of a request of this run; empty text if its caller left. */
  String request(long exchange) {
    return exchanges.getOrDefault(exchange, "");
  }

  boolean isOpen(long exchange) {
    return open.contains(exchange);
  }

  void close(long exchange) {
    open.remove(exchange);
    attempts.remove(exchange);
  }

  /** Notes that a caller left, so that no ending is expected any more. */
  void leave(long exchange) {
    close(exchange);
    exchanges.remove(exchange);
  }

  void beginAttempt(long exchange, int attempt) {
    attempts.put(exchange, attempt);
  }

  void cancelAttempt(long exchange) {
    attempts.remove(exchange);
  }

  boolean isCurrent(long exchange, int attempt) {
    return attempts.getOrDefault(exchange, -1) == attempt;
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

  long run() {
    return run;
  }

  boolean isUp() {
    return up;
  }

  boolean isReady() {
    return up && ready && !paused;
  }

  /** Returns whether callers have connections to it that they may use. */
  boolean takesKept() {
    return up && wasReady && !paused;
  }

  /** Returns when it was told to stop in this run; {@link Instant#MAX} if it was not. */
  Instant stopsSince() {
    return stopsSince;
  }

  /** Returns the requests of this run that have no ending and whose callers are there. */
  List<String> unended() {
    return open.stream().sorted().map(exchanges::get).toList();
  }

  boolean isStoreCut() {
    return storeCut;
  }

  boolean isPeersCut() {
    return peersCut;
  }
}
