import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** A small deployment: a store, runners and nodes; {@link #close} ends all that was started. */
final class Fleet implements AutoCloseable {

  /** Bounds of the sheets of SYSTEM.md. */
  static final Map<String, String> BOUNDS =
      Map.ofEntries(
          Map.entry("seed_lag_s", "3"),
          Map.entry("reuse_after_s", "2"),
          Map.entry("stability_window_ms", "3000"),
          Map.entry("ack_ms", "4000"),
          Map.entry("catch_up_s", "4"),
          Map.entry("drain_ms", "2000"),
          Map.entry("grace_s", "8"),
          Map.entry("loss_slack_ms", "200"),
          Map.entry("config_apply_ms", "2000"),
          Map.entry("rollback_slack_ms", "250"),
          Map.entry("outer_bound_ms", "5000"),
          Map.entry("retry_budget_ratio", "0.2"),
          Map.entry("budget_window_s", "10"),
          Map.entry("retry_budget_slack", "58"),
          Map.entry("recovery_s", "12"),
          Map.entry("pass_ms", "120"),
          Map.entry("retry_after_s", "0"),
          Map.entry("fencing_enforced", "true"),
          Map.entry("lease_ms", "3000"),
          Map.entry("thaw_ms", "300"),
          Map.entry("ceiling_window_s", "5"),
          Map.entry("ceiling_overage", "1.1"));

  /** Bounds of a deployment with tenants, in addition. */
  static final Map<String, String> TENANT_BOUNDS =
      Map.of(
          "revoke_fail_closed", "false",
          "revoke_ms", "5000",
          "quota_window_s", "8",
          "quota_overage", "0.1",
          "quota_slack", "17000");

  private static final int MAX_SECONDS = 115;

  final CaseLog record;
  final Store store;
  final List<Runner> runners = new CopyOnWriteArrayList<>();
  final List<Node> nodes = new ArrayList<>();
  final Path root;
  final Path folder;
  final Map<String, String> bounds = new LinkedHashMap<>(BOUNDS);

  Fleet(Path root, Path caseFolder, int keepSeconds) throws IOException {
    this.root = root;
    folder = Files.createTempDirectory("wisteriarail-review");
    record = new CaseLog(caseFolder);
    store = new Store("127.0.0.1", keepSeconds);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::close)));
  }

  Runner engine(String id, List<String> held) throws IOException {
    Runner runner = new Runner("127.0.0.1", id, Config.ENGINES, true, held, store, record);
    runners.add(runner);
    return runner;
  }

  Runner plain(String id) throws IOException {
    Runner runner = new Runner("127.0.0.1", id, Config.PLAIN, false, List.of(), store, record);
    runners.add(runner);
    return runner;
  }

  void addNodes(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      nodes.add(new Node(root, folder, "frontend-z-a-" + i, record));
    }
    List<String> seeds = nodes.stream().limit(3).map(Node::peerAddress).toList();
    for (Node node : nodes) {
      node.configure(store.address(), seeds, bounds);
    }
  }

  /** Starts all nodes; returns whether all are ready in time. */
  boolean startNodes(long millis) throws IOException, InterruptedException {
    for (Node node : nodes) {
      node.start();
    }
    boolean ready = true;
    for (Node node : nodes) {
      ready &= node.awaitReady(millis);
    }
    return ready;
  }

  @Override
  public void close() {
    nodes.forEach(Node::close);
    runners.forEach(Runner::close);
    store.close();
    record.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted((a, b) -> b.compareTo(a)).forEach(file -> file.toFile().delete());
    } catch (IOException left) {
      // A temporary folder is left behind.
    }
  }

  /** The outcome of a script: exit code 0 if the rule held, 1 if it was broken. */
  interface Script {
    boolean holds(Fleet fleet, boolean trouble) throws Exception;
  }

  /** Ends the script, and with it all nodes, if it takes too long. */
  private static void startWatchdog() {
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(MAX_SECONDS * 1_000L);
                System.out.println("the case takes too long");
                System.exit(2);
              } catch (InterruptedException ended) {
                Thread.currentThread().interrupt();
              }
            });
    watchdog.setDaemon(true);
    watchdog.start();
  }

  /** Runs a script; exits with 2 if it cannot run. */
  static void run(String[] args, int keepSeconds, Script script) {
    startWatchdog();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Fleet fleet = new Fleet(Path.of(args[0]), Path.of(args[1]), keepSeconds)) {
      fleet.record.say(trouble ? "with the disruption" : "without the disruption");
      try {
        code = script.holds(fleet, trouble) ? 0 : 1;
      } catch (Exception failure) {
        fleet.record.say("the case could not run: " + failure);
        failure.printStackTrace();
        code = 2;
      }
      fleet.record.say(
          code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "not run");
    } catch (Exception failure) {
      failure.printStackTrace();
      code = 2;
    }
    Runtime.getRuntime().halt(code);
  }
}
