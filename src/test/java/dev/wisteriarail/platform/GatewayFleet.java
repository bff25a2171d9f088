package dev.wisteriarail.platform;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.gateway.CallerProtocol;
import dev.wisteriarail.gateway.GatewayNode;
import dev.wisteriarail.gateway.PlatformClient;
import dev.wisteriarail.gateway.RunnerProtocol;
import dev.wisteriarail.settings.GatewayFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/** Real gateway nodes connected to a simulated platform, all on the loopback interface. */
final class GatewayFleet implements AutoCloseable {

  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final long POLL_NANOS = 5_000_000;

  private final PlatformStandin platform;
  private final Wrappers wrappers;
  private final List<GatewayNode> nodes = new ArrayList<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private int requests;

  private GatewayFleet(PlatformStandin platform, Wrappers wrappers) {
    this.platform = platform;
    this.wrappers = wrappers;
  }

  /** Functions that wrap the adapters of nodes, so that a test can make them fail. */
  record Wrappers(
      UnaryOperator<PlatformClient> clients,
      UnaryOperator<CallerProtocol> callers,
      UnaryOperator<RunnerProtocol> runners) {

    static Wrappers ofClients(UnaryOperator<PlatformClient> clients) {
      return new Wrappers(clients, UnaryOperator.identity(), UnaryOperator.identity());
    }

    static Wrappers ofProtocols(
        UnaryOperator<CallerProtocol> callers, UnaryOperator<RunnerProtocol> runners) {
      return new Wrappers(UnaryOperator.identity(), callers, runners);
    }
  }

  static GatewayFleet start(int count, int engines, int plain) throws Exception {
    return start(count, engines, plain, UnaryOperator.identity());
  }

  /** Starts nodes whose platform clients are wrapped by the given function. */
  static GatewayFleet start(
      int count, int engines, int plain, UnaryOperator<PlatformClient> clients) throws Exception {
    return start(count, engines, plain, Wrappers.ofClients(clients));
  }

  /** Starts nodes whose adapters are wrapped. */
  static GatewayFleet start(int count, int engines, int plain, Wrappers wrappers) throws Exception {
    GatewayFleet fleet = new GatewayFleet(PlatformStandin.start(engines, plain), wrappers);
    for (int i = 0; i < count; i++) {
      fleet.startNode("n" + i);
    }
    fleet.await(() -> fleet.allReady());
    return fleet;
  }

  /** Starts one node without runners that ends within the given time after its stop request. */
  static GatewayFleet startOne(Duration stopLimit) throws Exception {
    GatewayFleet fleet =
        new GatewayFleet(PlatformStandin.start(0, 0), Wrappers.ofClients(UnaryOperator.identity()));
    fleet.startNode(
        LoopbackSettings.of("n0", fleet.platform.store().address()).withStopLimit(stopLimit));
    fleet.await(() -> fleet.allReady());
    return fleet;
  }

  /** Starts one node without other runners, with further lines in its settings. */
  static GatewayFleet startOneWith(String addedSettings) throws Exception {
    GatewayFleet fleet =
        new GatewayFleet(PlatformStandin.start(0, 0), Wrappers.ofClients(UnaryOperator.identity()));
    LoopbackSettings settings = LoopbackSettings.of("n0", fleet.platform.store().address());
    fleet.startNode("n0", settings.toml() + addedSettings);
    fleet.await(() -> fleet.allReady());
    return fleet;
  }

  private void startNode(String name) throws SettingsException {
    startNode(LoopbackSettings.of(name, platform.store().address()));
  }

  private void startNode(LoopbackSettings settings) throws SettingsException {
    startNode(settings.name(), settings.toml());
  }

  private void startNode(String name, String toml) throws SettingsException {
    nodes.add(
        GatewayNode.start(
            GatewayFile.from(TomlDocument.parse(name, toml)),
            wrappers.callers().apply(CallerHeaders.create()),
            wrappers.runners().apply(RunnerHeaders.create()),
            (http, address) -> wrappers.clients().apply(HttpPlatformClient.create(http, address))));
  }

  private boolean allReady() {
    return nodes.stream().allMatch(this::isReady);
  }

  boolean isReady(GatewayNode node) {
    var at = node.file().balancer();
    URI uri = URI.create("http://" + at.host() + ":" + at.port() + "/wisteriarail/readiness");
    try {
      return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
              .statusCode()
          == 200;
    } catch (IOException notYet) {
      return false;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Starts to stop a node and waits until its readiness check fails. */
  Thread stopInBackground(int node) throws InterruptedException {
    Thread stopping =
        Thread.startVirtualThread(
            () -> {
              try {
                nodes.get(node).stop();
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            });
    await(() -> !isReady(nodes.get(node)));
    return stopping;
  }

  /** Waits for a condition; fails if it is still false after {@link #LIMIT}. */
  void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("the condition is still false after the time limit");
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Sends a request to a node; names the model unless it is empty. */
  HttpResponse<String> send(int node, String method, String path, String model) throws Exception {
    return send(node, method, path, model, "r" + requests++, "body");
  }

  HttpResponse<String> send(
      int node, String method, String path, String model, String id, String body) throws Exception {
    return send(node, method, path, model, id, body, List.of());
  }

  /** Sends a request with the body "body" and further headers, each as name and value. */
  HttpResponse<String> send(int node, String method, String path, List<String> headers)
      throws Exception {
    return send(node, method, path, "", "r" + requests++, "body", headers);
  }

  private HttpResponse<String> send(
      int node,
      String method,
      String path,
      String model,
      String id,
      String body,
      List<String> headers)
      throws Exception {
    var at = nodes.get(node).file().callers();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + at.host() + ":" + at.port() + path))
            .header("X-Wisteriarail-Request-Id", id)
            .header("X-Wisteriarail-Deadline-Ms", "5000")
            .timeout(LIMIT);
    if (!headers.isEmpty()) {
      request.headers(headers.toArray(String[]::new));
    }
    if (!model.isEmpty()) {
      request.header("X-Wisteriarail-Model", model);
    }
    request.method(
        method,
        method.equals("GET")
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  PlatformStandin platform() {
    return platform;
  }

  GatewayNode node(int index) {
    return nodes.get(index);
  }

  @Override
  public void close() throws InterruptedException {
    for (GatewayNode node : nodes) {
      node.kill();
    }
    platform.close();
  }
}
