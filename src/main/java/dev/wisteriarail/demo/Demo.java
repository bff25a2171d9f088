package dev.wisteriarail.demo;

import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.node.Node;
import dev.wisteriarail.platform.HttpClients;
import dev.wisteriarail.platform.HttpLogService;
import dev.wisteriarail.settings.NodeFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.EngineStandin;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Runs a fleet of nodes and stand-ins in one process and checks what it does.
 *
 * <p>A burst for an idle model reaches all nodes at once; the model must be loaded once and every
 * caller must get the whole answer to its own request.
 */
public final class Demo {

  private static final int NODES = 3;
  private static final int ENGINES = 4;
  private static final int BURST_PER_NODE = 8;
  private static final long LOAD_MILLIS = 400;
  private static final Duration READY_LIMIT = Duration.ofSeconds(15);
  private static final Duration CALL_LIMIT = Duration.ofSeconds(20);
  private static final Duration POLL = Duration.ofMillis(20);

  private final PrintStream out;
  private final List<Node> nodes = new ArrayList<>();
  private boolean allRight = true;

  private Demo(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the demo once.
   *
   * @return whether each outcome was right
   */
  public static boolean run(PrintStream out) throws SettingsException, InterruptedException {
    return new Demo(out).runAll();
  }

  private boolean runAll() throws SettingsException, InterruptedException {
    HttpClient http = HttpClients.start();
    try (StandinFleet standins = StandinFleet.start(ENGINES, 1, LOAD_MILLIS)) {
      startNodes(standins);
      publish(http, standins);
      check("all nodes ready", await(() -> nodes.stream().allMatch(this::isServing)));
      burst(http, standins);
    } finally {
      nodes.forEach(Node::kill);
      HttpClients.stop(http);
    }
    out.println(allRight ? "demo: all outcomes right" : "demo: an outcome was wrong");
    return allRight;
  }

  private void startNodes(StandinFleet standins) throws SettingsException {
    for (int i = 1; i <= NODES; i++) {
      Node node = Node.start(nodeFile("n" + i, standins));
      nodes.add(node);
      standins.vmList().put(node.vmEntry());
    }
  }

  private static NodeFile nodeFile(String name, StandinFleet standins) throws SettingsException {
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

  private void publish(HttpClient http, StandinFleet standins) {
    Section section = DemoConfiguration.section(standins.runnerSpecs());
    RecordBody change =
        new RecordBody.ConfigurationChanged(Revision.NONE, section, "demo", "first answers");
    HttpLogService.create(http, standins.log().server().address())
        .append(RecordId.of("demo-1"), "demo", change);
  }

  private boolean isServing(Node node) {
    return node.runtime().isReady();
  }

  // Scenes

  private void burst(HttpClient http, StandinFleet standins) throws InterruptedException {
    Histogram millis = new Histogram(3);
    List<CompletableFuture<Boolean>> calls = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (Node node : nodes) {
        for (int i = 0; i < BURST_PER_NODE; i++) {
          String prompt = node.vmEntry().node() + " asks " + i;
          calls.add(CompletableFuture.supplyAsync(() -> call(http, node, prompt, millis), callers));
        }
      }
    }
    long whole = calls.stream().filter(CompletableFuture::join).count();
    int loads = standins.engines().stream().mapToInt(EngineStandin::loads).sum();
    long decided =
        standins.log().records().stream()
            .filter(logged -> logged.body() instanceof RecordBody.LoadDecided)
            .count();
    out.printf(
        "burst: %d callers at %d nodes for an idle model; whole answers %d; loads decided %d,"
            + " done %d; time to the whole answer p50 %d ms, max %d ms%n",
        calls.size(),
        NODES,
        whole,
        decided,
        loads,
        millis.getValueAtPercentile(50),
        millis.getMaxValue());
    check("every caller got its own whole answer", whole == calls.size());
    check("the model was loaded once, as decided", loads == 1 && decided == 1);
  }

  private static boolean call(HttpClient http, Node node, String prompt, Histogram millis) {
    long start = System.nanoTime();
    try {
      ContentResponse response =
          http.POST(node.address() + "/v1/completions")
              .headers(
                  headers ->
                      headers
                          .put("Authorization", "Bearer " + DemoConfiguration.TOKEN)
                          .put("X-Request-Kind", "fault-summary"))
              .body(
                  new StringRequestContent(
                      "application/json",
                      "{\"model\":\"m001\",\"max_tokens\":8,\"prompt\":\"" + prompt + "\"}"))
              .timeout(CALL_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      synchronized (millis) {
        millis.recordValue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
      }
      String answer = response.getContentAsString();
      return response.getStatus() == 200 && answer.contains(prompt) && answer.contains(" t7");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    } catch (TimeoutException | ExecutionException failure) {
      return false;
    }
  }

  // Helpers

  private void check(String outcome, boolean right) {
    out.printf("%s: %s%n", right ? "right" : "WRONG", outcome);
    allRight &= right;
  }

  private static boolean await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + READY_LIMIT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        return false;
      }
      Thread.sleep(POLL);
    }
    return true;
  }
}
