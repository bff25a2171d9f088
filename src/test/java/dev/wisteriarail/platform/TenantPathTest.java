package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of API keys from callers through real nodes to a runner that records what it receives. */
class TenantPathTest {

  private static final String KEY = "acme-key-1";
  private static final String TENANT_HEADER = "X-Wisteriarail-Tenant";

  private final List<String> received = Collections.synchronizedList(new ArrayList<>());

  private void answer(Socket socket) throws IOException {
    BufferedReader in = RawRunner.reader(socket);
    String id = "";
    String line = in.readLine();
    List<String> head = new ArrayList<>();
    while (line != null && !line.isEmpty()) {
      head.add(line);
      if (line.startsWith("X-Wisteriarail-Request-Id: ")) {
        id = line.substring(line.indexOf(' ') + 1);
      }
      line = in.readLine();
    }
    received.clear();
    received.addAll(head);
    in.skip("body".length());
    String answer =
        "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
            + id
            + "\r\nX-Wisteriarail-Response-Signature: s\r\nContent-Length: 0\r\n"
            + "Connection: close\r\n\r\n";
    socket.getOutputStream().write(answer.getBytes(US_ASCII));
    socket.getOutputStream().flush();
  }

  private static Map<String, Object> tenant(String name, int priority, String... keys) {
    return Map.of("name", name, "api_keys", List.of(keys), "priority", priority);
  }

  private static int status(GatewayFleet fleet, String path, List<String> headers) {
    try {
      return fleet.send(0, "POST", path, headers).statusCode();
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static List<String> bearer(String key) {
    return List.of("Authorization", "Bearer " + key);
  }

  private static void publish(
      GatewayFleet fleet, List<Map<String, Object>> tenants, List<String> extraRoutes) {
    fleet.platform().setTenants(tenants, Set.of("lookup"));
    fleet.platform().publish(extraRoutes);
  }

  private String receivedHeader(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ": ";
    return String.join(
        "|",
        received.stream()
            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
            .map(line -> line.substring(prefix.length()))
            .toList());
  }

  /** Guards against keys and forged names that reach a runner. */
  @ParameterizedTest
  @CsvSource({
    // Which route, whether tenants are configured, and what the runner receives.
    "/order/1, true, acme, '', 3",
    "/lookup/1, true, '', '', 1",
    "/order/1, false, forged, Bearer acme-key-1, 1",
    "/lookup/1, false, forged, Bearer acme-key-1, 1",
  })
  void runnerLearnsTheTenantButNotTheKey(
      String path, boolean tenants, String tenant, String authorization, String priority)
      throws Exception {
    try (RawRunner runner = RawRunner.start(this::answer);
        GatewayFleet fleet = GatewayFleet.start(1, 0, 0)) {
      if (tenants) {
        publish(fleet, List.of(tenant("acme", 3, KEY)), List.of("extra"));
      } else {
        fleet.platform().publish(List.of("extra"));
      }
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      List<String> headers = new ArrayList<>(bearer(KEY));
      headers.addAll(List.of(TENANT_HEADER, "forged", "x-wisteriarail-request-priority", "9"));
      fleet.await(() -> status(fleet, "/extra/1", headers) == 200);
      received.clear();
      assertThat(status(fleet, path, headers)).isEqualTo(200);
      assertThat(receivedHeader(TENANT_HEADER)).isEqualTo(tenant);
      assertThat(receivedHeader("Authorization")).isEqualTo(authorization);
      assertThat(receivedHeader("X-Wisteriarail-Request-Priority")).isEqualTo(priority);
      if (tenants) {
        assertThat(String.join("\n", received)).doesNotContain(KEY);
      }
    }
  }

  /** Guards against other credentials that are taken for a key. */
  @Test
  void onlyOneBearerKeyIsAccepted() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 1)) {
      publish(fleet, List.of(tenant("acme", 3, KEY)), List.of());
      fleet.await(() -> status(fleet, "/order/1", List.of()) == 401);
      assertThat(status(fleet, "/order/1", bearer(KEY))).isEqualTo(200);
      assertThat(status(fleet, "/order/1", List.of("Authorization", "bEARER  " + KEY)))
          .isEqualTo(200);
      for (String other : List.of("Basic " + KEY, KEY, "Bearer", "Bearer " + KEY + "x", "")) {
        assertThat(status(fleet, "/order/1", List.of("Authorization", other))).isEqualTo(401);
      }
      List<String> twice = new ArrayList<>(bearer(KEY));
      twice.addAll(bearer(KEY));
      HttpResponse<String> refusal = fleet.send(0, "POST", "/order/1", twice);
      assertThat(refusal.statusCode()).isEqualTo(401);
      assertThat(refusal.headers().firstValue("X-Result-Code")).hasValue("WR-1106");
      assertThat(refusal.headers().firstValue("WWW-Authenticate")).hasValue("Bearer");
    }
  }

  /** Guards against keys that stay valid on open connections, and on nodes that read no store. */
  @Test
  void removedKeyIsRefusedOnOpenConnections() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(2, 0, 1)) {
      publish(fleet, List.of(tenant("acme", 3, KEY, "other-key")), List.of());
      for (int i = 0; i < 2; i++) {
        int node = i;
        fleet.await(() -> statusAt(fleet, node, "") == 401);
        assertThat(statusAt(fleet, node, KEY)).isEqualTo(200);
      }
      publish(fleet, List.of(tenant("acme", 3, "other-key", "new-key")), List.of());
      for (int i = 0; i < 2; i++) {
        int node = i;
        fleet.await(() -> statusAt(fleet, node, KEY) == 401);
        assertThat(statusAt(fleet, node, "other-key")).isEqualTo(200);
        assertThat(statusAt(fleet, node, "new-key")).isEqualTo(200);
      }
    }
  }

  private static int statusAt(GatewayFleet fleet, int node, String key) {
    return statusAt(fleet, node, "order", key);
  }

  private static int statusAt(GatewayFleet fleet, int node, String route, String key) {
    try {
      List<String> headers = key.isEmpty() ? List.of() : bearer(key);
      return fleet.send(node, "POST", "/" + route + "/1", headers).statusCode();
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  /**
   * Guards against a deployment that takes any key, and passes it on, once its configuration names
   * no tenant any more.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void configurationWithAnEmptyListOfTenantsAcceptsNoKey(boolean tenantBefore) throws Exception {
    try (RawRunner runner = RawRunner.start(this::answer);
        GatewayFleet fleet = GatewayFleet.start(2, 0, 0)) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      if (tenantBefore) {
        publish(fleet, List.of(tenant("acme", 3, KEY)), List.of("extra"));
        fleet.await(() -> statusAt(fleet, 0, KEY) == 200 && statusAt(fleet, 1, KEY) == 200);
      }
      publish(fleet, List.of(), List.of("extra", "last"));
      fleet.platform().publish(List.of("extra", "last"));
      for (int i = 0; i < 2; i++) {
        int node = i;
        fleet.await(() -> statusAt(fleet, node, "last", KEY) != 404);
        received.clear();
        for (String key : List.of(KEY, "never-held", "")) {
          assertThat(statusAt(fleet, node, key)).isEqualTo(401);
        }
        assertThat(received).isEmpty();
        assertThat(statusAt(fleet, node, "lookup", KEY)).isEqualTo(200);
        assertThat(String.join("\n", received)).doesNotContain(KEY);
      }
    }
  }

  /** Guards against an invalid configuration that replaces the one in force. */
  @Test
  void invalidConfigurationDoesNotComeIntoForce() throws Exception {
    try (GatewayFleet fleet = GatewayFleet.start(1, 0, 1)) {
      publish(fleet, List.of(tenant("acme", 3, KEY)), List.of());
      fleet.await(() -> status(fleet, "/order/1", List.of()) == 401);
      publish(
          fleet, List.of(tenant("acme", 3, KEY), tenant("bulk", 3, KEY)), List.of("never", "both"));
      publish(fleet, List.of(tenant("acme", 3, KEY), tenant("", 3, "k2")), List.of("never"));
      assertThat(status(fleet, "/order/1", bearer(KEY))).isEqualTo(200);
      publish(fleet, List.of(tenant("acme", 3, "later-key")), List.of("both"));
      fleet.await(() -> status(fleet, "/both/1", bearer("later-key")) == 200);
      assertThat(status(fleet, "/never/1", bearer("later-key"))).isEqualTo(404);
    }
  }
}
