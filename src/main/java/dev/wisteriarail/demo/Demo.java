package dev.wisteriarail.demo;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.node.Node;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.ContentResponse;

/**
 * Runs a fleet of nodes and stand-ins in one process and checks the outcomes of several scenarios.
 *
 * <p>All nodes receive a burst for a model that is not loaded: the model must be loaded once, and
 * every caller must receive the complete answer to its own request. Two nodes receive the same
 * dispatch under one idempotency key: it must run once. A published configuration change must take
 * effect on every node. Finally the controller is killed and the burst repeated for another model.
 */
public final class Demo {

  private static final int NODES = 3;
  private static final int BURST_PER_NODE = 8;
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private final PrintStream out;
  private final DemoFleet fleet;
  private final DemoCaller caller;
  private boolean allPassed = true;

  private Demo(PrintStream out, DemoFleet fleet) {
    this.out = out;
    this.fleet = fleet;
    caller = new DemoCaller(fleet.http(), fleet.token());
  }

  /**
   * Runs the demo once.
   *
   * @return whether every check passed
   */
  public static boolean run(PrintStream out) throws SettingsException, InterruptedException {
    try (DemoFleet fleet = DemoFleet.start(NODES, StandinFleetSetup.DEMO)) {
      return new Demo(out, fleet).runAll();
    }
  }

  private boolean runAll() throws InterruptedException {
    check("all nodes ready", DemoFleet.await(this::allReady, TIMEOUT));
    runBurst("m001", "burst");
    sendDuplicates();
    changeConfiguration();
    killController();
    out.println(allPassed ? "demo: all outcomes right" : "demo: an outcome was wrong");
    return allPassed;
  }

  // Scenarios

  private void runBurst(String model, String scenario) throws InterruptedException {
    long decidedBefore = loadDecisionCount();
    int loadsBefore = loadCount();
    Histogram millis = new Histogram(3);
    List<CompletableFuture<Boolean>> calls = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (Node node : fleet.nodes()) {
        for (int i = 0; i < BURST_PER_NODE; i++) {
          String prompt = node.vmEntry().node() + " asks " + i;
          calls.add(
              CompletableFuture.supplyAsync(
                  () -> caller.requestCompletion(node, model, prompt, millis), callers));
        }
      }
    }
    long complete = calls.stream().filter(CompletableFuture::join).count();
    long decidedLoads = loadDecisionCount() - decidedBefore;
    int performedLoads = loadCount() - loadsBefore;
    out.printf(
        "%s: %d callers at %d nodes for the idle model %s; whole answers %d; loads decided %d,"
            + " done %d; time to the whole answer p50 %d ms, max %d ms%n",
        scenario,
        calls.size(),
        fleet.nodes().size(),
        model,
        complete,
        decidedLoads,
        performedLoads,
        millis.getValueAtPercentile(50),
        millis.getMaxValue());
    check("every caller got its own whole answer", complete == calls.size());
    check("the model was loaded once, as decided", performedLoads == 1 && decidedLoads == 1);
  }

  private void sendDuplicates() {
    List<CompletableFuture<Optional<ContentResponse>>> calls = new ArrayList<>();
    try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      for (Node node : fleet.nodes().subList(0, 2)) {
        calls.add(CompletableFuture.supplyAsync(() -> dispatchRepair(node), callers));
      }
    }
    List<String> answers =
        calls.stream()
            .flatMap(call -> call.join().stream())
            .map(answer -> answer.getStatus() + " " + answer.getContentAsString())
            .toList();
    int runs = fleet.standins().services().totalRuns();
    out.printf(
        "dispatch: one repair-dispatch sent at two nodes under one key; ran %d times; answers %s%n",
        runs, answers);
    check("the dispatch ran once", runs == 1);
    check("both callers got the one answer", answers.size() == 2 && allEqual(answers));
  }

  private Optional<ContentResponse> dispatchRepair(Node node) {
    return caller.post(
        node,
        "/services/dispatch/crew",
        "repair-dispatch",
        Optional.of("phone-17"),
        "{\"phone\":17}");
  }

  private static boolean allEqual(List<String> texts) {
    return texts.stream().distinct().count() == 1;
  }

  private void changeConfiguration() throws InterruptedException {
    Revision before = fleet.nodes().getFirst().runtime().configuration().revision();
    long start = System.nanoTime();
    fleet.publish("demo-2", before, DemoConfiguration.addedModelSection());
    fleet.publish("demo-3", Revision.NONE, DemoConfiguration.addedModelSection());
    boolean appliedEverywhere = DemoFleet.await(this::allHaveAddedModel, TIMEOUT);
    out.printf(
        "configuration: a new section in force on all nodes after %d ms%n",
        Duration.ofNanos(System.nanoTime() - start).toMillis());
    check("the change is in force on every node", appliedEverywhere);
  }

  private void killController() throws InterruptedException {
    Optional<Node> controller =
        fleet.nodes().stream().filter(node -> node.runtime().isController()).findFirst();
    check("a controller is known", controller.isPresent());
    if (controller.isPresent()) {
      fleet.killNode(controller.get().vmEntry().node().value());
      out.println("killed the controller " + controller.get().vmEntry().node());
      runBurst("m002", "after the kill");
    }
  }

  // Helpers

  private boolean allReady() {
    return fleet.nodes().stream().allMatch(node -> node.runtime().isReady());
  }

  private boolean allHaveAddedModel() {
    return fleet.nodes().stream()
        .allMatch(
            node ->
                node.runtime().configuration().models().containsKey(DemoConfiguration.ADDED_MODEL));
  }

  private int loadCount() {
    return fleet.standins().engines().stream().mapToInt(engine -> engine.counters().loads()).sum();
  }

  private long loadDecisionCount() {
    return fleet.standins().log().records().stream()
        .filter(logged -> logged.body() instanceof RecordBody.LoadDecided)
        .count();
  }

  private void check(String outcome, boolean passed) {
    out.printf("%s: %s%n", passed ? "right" : "WRONG", outcome);
    allPassed &= passed;
  }
}
