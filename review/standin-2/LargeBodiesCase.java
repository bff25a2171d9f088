import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rare models are asked for at once, with bodies within {@code max_body_bytes}, while other clients
 * have streams from sound runners on kept channels.
 */
final class LargeBodiesCase {

  /** Sizes of the bodies in turn, all below {@code max_body_bytes}, 4,194,304. */
  private static final int[] BODY_BYTES = {
    4_000_000, 4_000_000, 1_000_000, 4_000_000, 300_000, 4_000_000, 100_000, 30_000
  };

  private static final int MACHINES = 2;

  /** Requests a second on each machine: the sheet of SYSTEM.md has 55 on 8 machines. */
  private static final int USUAL_PER_S = 7;

  /** {@code burst}: x and for_s, as in the days of lonchera-ops.toml. */
  private static final double BURST_X = 2.4;

  private static final int BURST_S = 6;

  /** {@code recovery_s}. */
  private static final int RECOVERY_S = 12;

  /** {@code timeout_ms} of their route, and their time limit. */
  private static final int STREAM_LIMIT_MS = 25_000;

  private static final int STREAMS = 60;
  private static final int PROBES = 20;

  private static volatile boolean stopping;

  public static void main(String[] args) {
    Fleet.run(args, 300, LargeBodiesCase::holds);
  }

  private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
    List<String> models = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      models.add("m" + i);
    }
    fleet.store.put("keyed.op", "config", Config.json(1, models, 6.0, 0.5));
    for (int i = 0; i < 2; i++) {
      Runner runner = fleet.engine("i-engine" + i, List.of("m0"));
      runner.loadMillis = 6_000;
      runner.events = 95;
      runner.eventMillis = 200;
    }
    fleet.addNodes(MACHINES);
    if (!fleet.startNodes(20_000)) {
      throw new IllegalStateException("the nodes did not become ready");
    }
    Map<String, Integer> ownEnds = new TreeMap<>();
    Thread restarts = Thread.ofPlatform().start(() -> restart(fleet, ownEnds));
    Thread.sleep(1_000);

    AtomicInteger cut = new AtomicInteger();
    AtomicInteger unended = new AtomicInteger();
    AtomicInteger done = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Node node = fleet.nodes.get(i % MACHINES);
      String id = "stream-" + i;
      // Not in step with each other.
      Thread.sleep(50);
      threads.add(Thread.ofVirtual().start(() -> streams(fleet, node, id, cut, unended, done)));
    }
    Thread.sleep(2_000);

    Map<String, Integer> outcomes = new TreeMap<>();
    int requests = (int) (USUAL_PER_S * BURST_X * BURST_S * MACHINES);
    // Without the disruption, the same requests ask for a model that is loaded, at the usual rate.
    long gap =
        trouble ? BURST_S * 1_000L / requests : 1_000L / (USUAL_PER_S * MACHINES);
    fleet.record.say(requests + " requests, one each " + gap + " ms");
    for (int i = 0; i < requests; i++) {
      Node node = fleet.nodes.get(i % MACHINES);
      String id = "large-" + i;
      String model = trouble ? "m" + (20 + i % 2) : "m0";
      int size = BODY_BYTES[i / MACHINES % BODY_BYTES.length];
      threads.add(Thread.ofVirtual().start(() -> large(fleet, node, id, model, size, outcomes)));
      Thread.sleep(gap);
    }
    fleet.record.say("the requests are sent");
    Thread.sleep(10_000 + RECOVERY_S * 1_000L);
    int served = 0;
    for (int i = 0; i < PROBES; i++) {
      served += probe(fleet, fleet.nodes.get(i % MACHINES), "probe-" + i) ? 1 : 0;
      Thread.sleep(200);
    }
    stopping = true;
    for (Thread thread : threads) {
      // A node that has stopped reading blocks its clients.
      thread.join(Duration.ofMillis(20));
    }
    restarts.join(3_000);
    fleet.record.say("answers to large requests: " + outcomes);
    fleet.record.say(
        "streams on kept channels: " + done + " complete, " + cut
            + " that a sound runner had closed before their end, " + unended
            + " without an end 0.5 s after their time limit");
    fleet.record.say("processes that ended by themselves, by machine: " + ownEnds);
    fleet.record.say(
        "later than recovery_s after the burst, small requests for a loaded model: " + served
            + " of " + PROBES + " served");
    for (Node node : fleet.nodes) {
      fleet.record.say(
          node.name + ": process runs: " + node.isAlive() + ", readiness: " + node.readiness()
              + ", core ended for lack of memory: "
              + !node.logLines("Exception in thread \"core\" java.lang.OutOfMemoryError").isEmpty());
    }
    // LOST: more than three times. CONFIG: eight or more of those that last longer than timeout_ms,
    // and over a quarter, have no final answer 0.5 s after it; no other stream lasts so long.
    return cut.get() <= 3 && unended.get() < 8;
  }

  private static boolean probe(Fleet fleet, Node node, String id) {
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      Http.Response response =
          connection.exchange(
              "POST", "/summary/quick", headers(id, "m0", 4_000), new byte[1_700], 5_000, s -> {});
      fleet.record.line(
          "request " + id + " to " + node.name + " answered " + response.status() + " "
              + response.header("X-Result-Code") + ", " + response.end());
      return response.status() == 200 && response.complete();
    } catch (Exception failure) {
      fleet.record.line("request " + id + " to " + node.name + " failed: " + failure);
      return false;
    }
  }

  /** Starts processes again that ended by themselves, as the platform does. */
  private static void restart(Fleet fleet, Map<String, Integer> ownEnds) {
    try {
      while (!stopping) {
        for (Node node : fleet.nodes) {
          if (!node.isAlive()) {
            ownEnds.merge(node.name, 1, Integer::sum);
            fleet.record.say(node.name + " ended by itself, exit code " + node.exitCode());
            Thread.sleep(1_000);
            node.start();
          }
        }
        Thread.sleep(100);
      }
    } catch (Exception failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static Map<String, String> headers(String id, String model, int deadline) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Config.HOST);
    headers.put("X-Wisteriarail-Request-Id", id);
    headers.put("X-Wisteriarail-Model", model);
    headers.put("X-Wisteriarail-Token-Usage", "600,100");
    headers.put(
        "X-Wisteriarail-Prompt-Prefix",
        "5c1e07a2:200," + Integer.toHexString(id.hashCode()) + ":400");
    headers.put("X-Wisteriarail-Deadline-Ms", Integer.toString(deadline));
    return headers;
  }

  /** A short request, then long streams one after the other on the channel that was kept. */
  private static void streams(
      Fleet fleet,
      Node node,
      String id,
      AtomicInteger cut,
      AtomicInteger unended,
      AtomicInteger done) {
    int number = 0;
    while (!stopping) {
      try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
        boolean kept = false;
        boolean open = true;
        while (open && !stopping) {
          String name = id + "-" + number++;
          fleet.record.line("request " + name + " sent to " + node.name + (kept ? ", kept" : ""));
          Http.Response response =
              connection.exchange(
                  "POST",
                  kept ? "/report/x" : "/report/quick",
                  headers(name, "m0", STREAM_LIMIT_MS),
                  new byte[1_700],
                  STREAM_LIMIT_MS + 500,
                  sent -> {});
          fleet.record.line("request " + name + " answered " + response.status() + ", " + response.end());
          open = response.complete() && response.status() == 200;
          if (open) {
            done.incrementAndGet();
          } else if (kept && !response.complete() && isRun(fleet, name)) {
            boolean silent = response.end().contains("SocketTimeoutException");
            (silent ? unended : cut).incrementAndGet();
          }
          kept = true;
        }
      } catch (Exception failure) {
        fleet.record.line("client " + id + ": " + failure);
      }
      pause();
    }
  }

  private static boolean isRun(Fleet fleet, String id) {
    return fleet.runners.stream().anyMatch(runner -> runner.runs().containsKey(id));
  }

  private static void pause() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private static void large(
      Fleet fleet, Node node, String id, String model, int size, Map<String, Integer> outcomes) {
    String outcome;
    fleet.record.line("request " + id + ", " + size + " bytes, for " + model + " sent to " + node.name);
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      Http.Response response =
          connection.exchange(
              "POST", "/report/quick", headers(id, model, 25_000), new byte[size], 26_000, sent -> {});
      outcome =
          response.complete()
              ? response.status() + " " + response.header("X-Result-Code")
              : response.status() == 0 ? "no answer" : response.status() + " cut";
      fleet.record.line("request " + id + " answered " + response.status() + ", " + response.end());
    } catch (Exception failure) {
      outcome = "no connection";
      fleet.record.line("request " + id + " failed: " + failure);
    }
    synchronized (outcomes) {
      outcomes.merge(outcome.trim(), 1, Integer::sum);
    }
  }
}
