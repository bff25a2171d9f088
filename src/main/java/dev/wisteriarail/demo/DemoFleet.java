package dev.wisteriarail.demo;

import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.logservice.HttpLogService;
import dev.wisteriarail.node.Node;
import dev.wisteriarail.settings.NodeFile;
import dev.wisteriarail.settings.TomlDocument;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.eclipse.jetty.client.HttpClient;

/**
 * Nodes and stand-ins in one process, with a small published configuration.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Not thread-safe.
 */
public final class DemoFleet implements AutoCloseable {

  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final StandinFleet standins;
  private final HttpClient http;
  private final Map<String, Node> nodes = new TreeMap<>();

  private DemoFleet(StandinFleet standins, HttpClient http) {
    this.standins = standins;
    this.http = http;
  }

  /**
   * Starts the stand-ins and nodes and publishes the configuration of the demo.
   *
   * @param nodeCount number of nodes
   * @param setup sizes and times of the stand-ins
   * @throws SettingsException if a port cannot be bound
   */
  public static DemoFleet start(int nodeCount, StandinFleetSetup setup) throws SettingsException {
    DemoFleet fleet = new DemoFleet(StandinFleet.start(setup), HttpClients.startForCallers());
    for (int i = 1; i <= nodeCount; i++) {
      fleet.startNode("n" + i);
    }
    fleet.publish(
        "demo-1", Revision.NONE, DemoConfiguration.demoSection(fleet.standins.runnerSpecs()));
    return fleet;
  }

  // Nodes

  /** Starts a node and adds it to the VM list. */
  public void startNode(String name) throws SettingsException {
    Node node = Node.start(nodeFile(name));
    nodes.put(name, node);
    standins.vmList().put(node.vmEntry());
  }

  /**
   * Kills a node, as a failure of its VM does. The node stays on the VM list, which lags behind.
   */
  public void killNode(String name) {
    nodes.remove(name).kill();
  }

  /** Removes a node, also from the VM list, and returns it for a graceful stop by the caller. */
  public Node removeNode(String name) {
    Node node = nodes.remove(name);
    standins.vmList().remove(node.vmEntry().node());
    return node;
  }

  /** Publishes a configuration section that is based on the given revision. */
  public void publish(String record, Revision basedOn, Section section) {
    RecordBody change =
        new RecordBody.ConfigurationChanged(basedOn, section, "demo", "published by the demo");
    HttpLogService.create(http, standins.log().server().address())
        .append(RecordId.of(record), "demo", change);
  }

  private NodeFile nodeFile(String name) throws SettingsException {
    String text =
        """
        [node]
        id = "%s"
        failure_domain = "fd1"
        [http]
        port = 0
        [peer]
        port = 0
        [log]
        address = "%s"
        [vm_list]
        address = "%s"
        """
            .formatted(
                name, standins.log().server().address(), standins.vmList().server().address());
    return NodeFile.from(TomlDocument.parse("demo.toml", text));
  }

  // Accessors

  /** Returns the running nodes, sorted by name. */
  public List<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  /** Returns the stand-ins. */
  public StandinFleet standins() {
    return standins;
  }

  /** Returns the HTTP client for callers; the fleet stops it on close. */
  public HttpClient http() {
    return http;
  }

  /** Returns the bearer token of the demo's customer. */
  public String token() {
    return DemoConfiguration.TOKEN;
  }

  /** Waits until a condition holds; returns whether it held within the timeout. */
  public static boolean await(BooleanSupplier condition, Duration timeout)
      throws InterruptedException {
    long deadline = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(POLL_INTERVAL);
    }
    return true;
  }

  @Override
  public void close() {
    nodes.values().forEach(Node::kill);
    HttpClients.stop(http);
    standins.close();
  }
}
