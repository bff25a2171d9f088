package dev.wisteriarail.cli;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.logservice.HttpClients;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;

/** Prints a one-line status, or the full JSON status, of each node. */
final class StatusCommand implements Command {

  private static final int STATUS_OK = 200;
  private static final int TIMEOUT_SECONDS = 3;

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String summary() {
    return "shows the state of nodes and their view of the fleet";
  }

  @Override
  public String example() {
    return "wisteriarail status --token $TOKEN http://127.0.0.1:8081 http://127.0.0.1:8082";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("token", "bearer token of an operator").withRequiredArg().required();
    parser.accepts("json", "print the JSON answer of each node unchanged");
    parser.nonOptions("base addresses of nodes");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    List<String> nodes = options.nonOptionArguments().stream().map(String::valueOf).toList();
    boolean allReady = !nodes.isEmpty();
    HttpClient http = HttpClients.start();
    try {
      for (String node : nodes) {
        JsonNode status = fetch(http, node, (String) options.valueOf("token"));
        out.println(options.has("json") ? status.toString() : describe(status));
        allReady &= status.path("ready").asBoolean();
      }
    } finally {
      HttpClients.stop(http);
    }
    return allReady ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private static JsonNode fetch(HttpClient http, String node, String token)
      throws PlatformException, InterruptedException {
    try {
      ContentResponse response =
          http.newRequest(node + "/status")
              .headers(headers -> headers.put("Authorization", "Bearer " + token))
              .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
              .send();
      if (response.getStatus() != STATUS_OK) {
        throw new PlatformException(
            ResultCode.PEER_UNREACHABLE, node, "answered " + response.getStatus());
      }
      return Codecs.json().readTree(response.getContent());
    } catch (IOException | TimeoutException | ExecutionException failure) {
      throw new PlatformException(ResultCode.PEER_UNREACHABLE, node, failure.toString(), failure);
    }
  }

  /** Returns a node's status as text. */
  static String describe(JsonNode status) {
    String controllerRole =
        status.path("controller").asText().equals(status.path("node").asText())
            ? "controls cell " + status.path("cell").asText()
            : "follows " + status.path("controller").asText("nobody");
    String log =
        status.path("logDown").asBoolean()
            ? "cannot read the log"
            : "has read the log to " + status.path("nextOffset").asLong();
    return "%s in %s is %s, %s under fencing number %d, %s, revision %d with %d models; %s; %s"
        .formatted(
            status.path("node").asText(),
            status.path("failureDomain").asText(),
            describeReadiness(status),
            controllerRole,
            status.path("fence").asLong(),
            log,
            status.path("revision").asLong(),
            status.path("models").asInt(),
            describePeers(status.path("peers")),
            describeReplicas(status.path("replicas")));
  }

  private static String describeReadiness(JsonNode status) {
    if (status.path("draining").asBoolean()) {
      return "draining";
    }
    return status.path("ready").asBoolean() ? "ready" : "not ready";
  }

  private static String describePeers(JsonNode peers) {
    int live = 0;
    StringBuilder silent = new StringBuilder();
    for (JsonNode peer : peers) {
      live += peer.path("live").asBoolean() ? 1 : 0;
      silent.append(peer.path("live").asBoolean() ? "" : " " + peer.path("node").asText());
    }
    String others = silent.isEmpty() ? "" : ", silent:" + silent;
    return live + " of " + peers.size() + " peers are live" + others;
  }

  private static String describeReplicas(JsonNode replicas) {
    long bytes = 0;
    for (JsonNode replica : replicas) {
      bytes += replica.path("bytes").asLong();
    }
    return replicas.size() + " replicas hold " + (bytes >> 20) + " MiB";
  }
}
