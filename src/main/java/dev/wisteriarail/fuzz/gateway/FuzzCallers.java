package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.PromptPart;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.fuzz.SeededRandom;
import dev.wisteriarail.fuzz.VirtualScheduler;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Callers that send requests to all nodes. They keep their connections to a stopping node until it
 * is gone.
 *
 * <p>Not thread-safe; one run owns it.
 */
final class FuzzCallers {

  /** Interval of requests that crash runners. */
  private static final int CRASHING_REQUEST_MILLIS = 200;

  /** Number of sessions, each with a part of its own in the prompts of its requests. */
  private static final int SESSIONS = 12;

  private final GatewayFuzz simulation;
  private final VirtualScheduler time;
  private final GatewayOracle oracle;
  private final SeededRandom random;
  private final SeededRandom crashes;
  private final List<FuzzedNode> nodes;
  private long lastExchange;

  FuzzCallers(
      GatewayFuzz simulation,
      VirtualScheduler time,
      GatewayOracle oracle,
      SeededRandom random,
      SeededRandom crashes,
      List<FuzzedNode> nodes) {
    this.simulation = simulation;
    this.time = time;
    this.oracle = oracle;
    this.random = random;
    this.crashes = crashes;
    this.nodes = nodes;
  }

  /** Sends a request to any node and schedules the next one. */
  void sendRequest() {
    List<FuzzedNode> open = nodes.stream().filter(FuzzedNode::acceptsRequests).toList();
    if (!open.isEmpty()) {
      boolean added = simulation.version() > 1 && random.nextBoolean(0.1);
      sendRequest(
          random.pick(open),
          added ? "added-" + simulation.version() : random.pick(GatewayFuzz.KINDS));
    }
    time.after(random.nextDuration(2, 60), this::sendRequest);
  }

  /** Sends a request for any model. */
  void sendRequest(FuzzedNode node, String kind) {
    sendRequest(node, kind, "m" + random.nextInt(GatewayFuzzDeployment.MODEL_COUNT));
  }

  /** Sends a request; only streaming kinds name a model. */
  void sendRequest(FuzzedNode node, String kind, String named) {
    boolean stream = GatewayFuzz.STREAMS.contains(kind);
    String model = stream ? named : "";
    String adapter = stream && random.nextBoolean(0.2) ? "a" + random.nextInt(2) : "";
    long exchange = ++lastExchange;
    String request = kind + "#" + exchange + "~" + model + "~" + adapter + "~";
    List<String> parts =
        stream ? List.of("first", "session-" + exchange % SESSIONS, "own-" + exchange) : List.of();
    sendRequest(node, kind, request, exchange, exchange, parts);
    if (random.nextBoolean(0.03)) {
      time.after(random.nextDuration(1, 500), () -> disconnectCaller(node, exchange));
    }
  }

  private void sendRequest(
      FuzzedNode node,
      String kind,
      String request,
      long exchange,
      long fingerprint,
      List<String> parts) {
    String[] names = request.split("~", -1);
    RouteSpec route =
        GatewayFuzzDeployment.configuration(simulation.version())
            .route(GatewayFuzzDeployment.HOST, "/" + kind + "/1")
            .orElseThrow();
    node.open(exchange, request);
    oracle.recordRequest(request, route, node.number(), time.now());
    simulation.deliver(
        node,
        node.incarnation(),
        new GatewayEvent.RequestArrived(
            new ForwardRequest(
                exchange,
                request,
                GatewayFuzzDeployment.HOST,
                "/" + kind + "/1",
                Optional.of(route.timeout()),
                Optional.of(names[1]).filter(name -> !name.isEmpty()),
                Optional.of(names[2]).filter(name -> !name.isEmpty()),
                true,
                100,
                100,
                parts.stream().map(part -> new PromptPart(part, 10)).toList(),
                fingerprint,
                0,
                Optional.empty())));
  }

  /**
   * Sends one of the requests that crash runners to any node: the same one again, or one of many
   * different ones with one part in common. Their other parts are those of usual requests.
   */
  void sendCrashingRequest() {
    if (time.now().isAfter(Instant.EPOCH.plus(GatewayFuzz.FAULT_PERIOD))) {
      return;
    }
    List<FuzzedNode> open = nodes.stream().filter(FuzzedNode::acceptsRequests).toList();
    if (!open.isEmpty()) {
      boolean wholeContent = crashes.nextBoolean(0.4);
      long exchange = ++lastExchange;
      String trait = wholeContent ? "content" : "part";
      String model = "m" + crashes.nextInt(GatewayFuzzDeployment.MODEL_COUNT);
      String request = "chat#" + exchange + "~" + model + "~~crashing-" + trait;
      List<String> parts =
          wholeContent
              ? List.of("first", "session-1", "own")
              : List.of("first", "session-" + crashes.nextInt(SESSIONS), "crashing", "own");
      sendRequest(
          crashes.pick(open), "chat", request, exchange, wholeContent ? -1 : exchange, parts);
    }
    time.after(
        crashes.nextDuration(CRASHING_REQUEST_MILLIS / 2, 2 * CRASHING_REQUEST_MILLIS),
        this::sendCrashingRequest);
  }

  private void disconnectCaller(FuzzedNode node, long exchange) {
    if (node.isOpen(exchange)) {
      oracle.waiveOutcome(node.request(exchange));
      node.disconnect(exchange);
      simulation.deliver(node, node.incarnation(), new GatewayEvent.CallerDisconnected(exchange));
    }
  }
}
