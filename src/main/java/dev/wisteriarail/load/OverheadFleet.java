package dev.wisteriarail.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.demo.DemoFleet;
import dev.wisteriarail.demo.StandinFleetSetup;
import dev.wisteriarail.engine.EngineAttempt;
import dev.wisteriarail.node.Node;
import dev.wisteriarail.standin.EngineStandin;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;

/** One node with one engine that answers immediately, for measuring the node's overhead. */
final class OverheadFleet implements AutoCloseable {

  private static final String MODEL = "m001";
  private static final String BODY =
      "{\"model\":\"" + MODEL + "\",\"max_tokens\":1,\"prompt\":\"hello\"}";
  private static final int SLOTS = 256;

  private final DemoFleet fleet;
  private final EngineStandin engine;
  private final AtomicLong attempts = new AtomicLong();

  private OverheadFleet(DemoFleet fleet) {
    this.fleet = fleet;
    engine = fleet.standins().engines().getFirst();
  }

  static OverheadFleet start() throws SettingsException {
    StandinFleetSetup setup = StandinFleetSetup.DEMO.withTimes(1, 0).withEngines(1, SLOTS);
    return new OverheadFleet(DemoFleet.start(1, setup));
  }

  void awaitReady(Duration timeout) throws InterruptedException {
    Node node = fleet.nodes().getFirst();
    DemoFleet.await(() -> node.runtime().isReady(), timeout);
    callThroughNode();
  }

  /** Calls the engine directly, bypassing the node. */
  void callDirectly() throws InterruptedException {
    ReplicaId replica = engine.report().replicas().getFirst().replica();
    EngineAttempt attempt = new EngineAttempt(replica, Optional.empty(), 0, BODY);
    String path = "/attempts/direct" + attempts.incrementAndGet();
    try {
      String body = Codecs.json().writeValueAsString(attempt);
      requireOk(
          fleet
              .http()
              .POST(engine.server().address() + path)
              .body(new StringRequestContent("application/json", body))
              .send());
    } catch (JsonProcessingException | TimeoutException | ExecutionException failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** Calls the engine through the node. */
  void callThroughNode() throws InterruptedException {
    try {
      requireOk(
          fleet
              .http()
              .POST(fleet.nodes().getFirst().address() + "/v1/completions")
              .headers(headers -> headers.put("Authorization", "Bearer " + fleet.token()))
              .body(new StringRequestContent("application/json", BODY))
              .send());
    } catch (TimeoutException | ExecutionException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static void requireOk(ContentResponse response) {
    if (response.getStatus() != 200) {
      throw new IllegalStateException(
          "status " + response.getStatus() + ": " + response.getContentAsString());
    }
  }

  @Override
  public void close() {
    fleet.close();
  }
}
