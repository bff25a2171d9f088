import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All machines lose power, and come back after the store has expired the last records of the topic
 * in which the system keeps its lease.
 */
final class LeaseExpiryCase {

  /** {@code keep_s}: "20 s of history" in the sheets of SYSTEM.md. */
  private static final int KEEP_S = 20;

  /** {@code recovery_s} of the sheets. */
  private static final int RECOVERY_S = 12;

  private static final int MODELS = 36;
  private static final int REQUESTS = 36;
  private static final int TIME_LIMIT_MS = 12_000;

  public static void main(String[] args) {
    Fleet.run(args, KEEP_S, LeaseExpiryCase::holds);
  }

  private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
    int downSeconds = Integer.parseInt(System.getenv().getOrDefault("DOWN_S", "25"));
    List<String> models = new ArrayList<>();
    for (int i = 0; i < MODELS; i++) {
      models.add("m" + (i < 10 ? "0" : "") + i);
    }
    fleet.store.put("keyed.op", "config", Config.json(1, models, 1.0, 0.4));
    for (int i = 0; i < 3; i++) {
      fleet.engine("i-engine" + i, List.of(models.get(2 * i), models.get(2 * i + 1)));
    }
    fleet.addNodes(3);
    if (!fleet.startNodes(20_000)) {
      throw new IllegalStateException("the nodes did not become ready");
    }
    Thread.sleep(5_000);
    int before = ask(fleet, models, "before");
    if (trouble) {
      fleet.record.say("all machines lose power for " + downSeconds + " s");
      for (Node node : fleet.nodes) {
        node.kill();
      }
      Thread.sleep(downSeconds * 1_000L);
      fleet.record.say(
          "the machines are back; the lease's topic: "
              + fleet.store.range("wisteriarail-orders"));
      if (!fleet.startNodes(20_000)) {
        throw new IllegalStateException("the nodes did not become ready again");
      }
    }
    fleet.store.takeCalls();
    Thread.sleep(RECOVERY_S * 1_000L + 500);
    fleet.record.say("calls to the store in these " + RECOVERY_S + " s: " + fleet.store.takeCalls());
    int after = ask(fleet, models, "after");
    fleet.record.say(
        "served before: " + before + " of " + REQUESTS + ", later than recovery_s after: " + after
            + " of " + REQUESTS);
    if (before * 4 < REQUESTS) {
      throw new IllegalStateException("too little was served before the disruption");
    }
    // RECOVER: less than a quarter is served, though a quarter or more was before.
    return after * 4 >= REQUESTS;
  }

  /** Asks for each model once; returns how many requests were answered completely. */
  private static int ask(Fleet fleet, List<String> models, String phase) throws Exception {
    AtomicInteger served = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String model = models.get(i % MODELS);
      String id = phase + "-" + i;
      Node node = fleet.nodes.get(i % fleet.nodes.size());
      threads.add(Thread.ofVirtual().start(() -> send(fleet, node, id, model, served)));
      Thread.sleep(500);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return served.get();
  }

  private static void send(
      Fleet fleet, Node node, String id, String model, AtomicInteger served) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Config.HOST);
    headers.put("X-Wisteriarail-Request-Id", id);
    headers.put("X-Wisteriarail-Model", model);
    headers.put("X-Wisteriarail-Token-Usage", "600,100");
    headers.put("X-Wisteriarail-Prompt-Prefix", "5c1e07a2:200," + Integer.toHexString(id.hashCode()) + ":400");
    headers.put("X-Wisteriarail-Deadline-Ms", Integer.toString(TIME_LIMIT_MS));
    fleet.record.line("request " + id + " for " + model + " sent to " + node.name);
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      Http.Response response =
          connection.exchange(
              "POST", "/summary/x", headers, new byte[1_700], TIME_LIMIT_MS + 1_000, sent -> {});
      fleet.record.line(
          "request " + id + " answered " + response.status() + " " + response.header("X-Result-Code")
              + ", " + response.end());
      if (response.status() == 200 && response.complete()) {
        served.incrementAndGet();
      }
    } catch (Exception failure) {
      fleet.record.line("request " + id + " failed: " + failure);
    }
  }
}
