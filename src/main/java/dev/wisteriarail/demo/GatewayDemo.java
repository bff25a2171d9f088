package dev.wisteriarail.demo;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.gateway.GatewayNode;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.platform.CallerHeaders;
import dev.wisteriarail.platform.HttpPlatformClient;
import dev.wisteriarail.platform.RunnerHeaders;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.settings.GatewayFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.CallerRequests;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Runs two gateway nodes in front of a stand-in of the users' platform, sends one request of each
 * kind to each node, the same with the API key of a limited tenant, and stops. The archive of
 * loaded classes is created from this run.
 */
public final class GatewayDemo {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static final String API_KEY = "demo-key";

  /** A tenant with an API key and a limit, which one node's share of it does not hold for long. */
  private static final Map<String, Object> TENANT =
      Map.of(
          "name",
          "demo",
          "api_keys",
          List.of(API_KEY),
          "priority",
          1,
          "rate_per_s",
          20,
          "burst",
          20);

  private final PrintStream out;
  private final HttpClient http;
  private Optional<String> apiKey = Optional.empty();
  private int requestCount;
  private boolean allPassed = true;

  private GatewayDemo(PrintStream out, HttpClient http) {
    this.out = out;
    this.http = http;
  }

  /**
   * Runs the demo once.
   *
   * @return whether every check passed
   */
  public static boolean run(PrintStream out) throws SettingsException, InterruptedException {
    HttpClient http = HttpClients.startForCallers();
    try (PlatformStandin platform = PlatformStandin.start(2, 1)) {
      GatewayDemo demo = new GatewayDemo(out, http);
      List<GatewayNode> nodes =
          List.of(demo.startNode("g1", platform), demo.startNode("g2", platform));
      demo.sendRequests(nodes);
      platform.setTenants(List.of(TENANT), Set.of());
      platform.publish(List.of());
      for (GatewayNode node : nodes) {
        demo.check("request without API key", demo.retryUntil(401, node, "GET", "/lookup/1", ""));
      }
      demo.apiKey = Optional.of(API_KEY);
      demo.sendRequests(nodes);
      for (GatewayNode node : nodes) {
        demo.check("node " + node.file().node() + " stopped with nothing in flight", node.stop());
      }
      return demo.allPassed;
    } finally {
      HttpClients.stop(http);
    }
  }

  private GatewayNode startNode(String name, PlatformStandin platform) throws SettingsException {
    String toml = LoopbackSettings.of(name, platform.store().address()).toml();
    return GatewayNode.start(
        GatewayFile.from(TomlDocument.parse(name, toml)),
        CallerHeaders.create(),
        RunnerHeaders.create(),
        HttpPlatformClient::create);
  }

  private void sendRequests(List<GatewayNode> nodes) throws InterruptedException {
    for (GatewayNode node : nodes) {
      check("plain request", retryUntilOk(node, "GET", "/lookup/1", ""));
      check("request that must not run twice", retryUntilOk(node, "POST", "/order/1", ""));
      check("stream of a loaded model", retryUntilOk(node, "POST", "/chat/1", "m0"));
      check(
          "stream of a model that has to be loaded", retryUntilOk(node, "POST", "/report/1", "m1"));
      check("stream of an adapter", retryUntilOk(node, "POST", "/chat/1", "m0/a1"));
    }
  }

  private void check(String description, boolean passed) {
    allPassed &= passed;
    out.println((passed ? "right: " : "WRONG: ") + description);
  }

  /** Retries a request until it succeeds; a node that has just started may reject requests. */
  private boolean retryUntilOk(GatewayNode node, String method, String path, String model)
      throws InterruptedException {
    return retryUntil(200, node, method, path, model);
  }

  private boolean retryUntil(int status, GatewayNode node, String method, String path, String model)
      throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (System.nanoTime() < deadline) {
      if (sendRequest(node, method, path, model) == status) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  private int sendRequest(GatewayNode node, String method, String path, String model)
      throws InterruptedException {
    Endpoint endpoint = node.file().callers();
    Request request =
        CallerRequests.create(
            http,
            endpoint.host() + ":" + endpoint.port(),
            method,
            path,
            model,
            "trial-" + requestCount++);
    apiKey.ifPresent(
        key -> request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key)));
    try {
      ContentResponse response = request.send();
      return response.getStatus();
    } catch (ExecutionException | TimeoutException failure) {
      out.println("no answer: " + failure.getMessage());
      return 0;
    }
  }
}
