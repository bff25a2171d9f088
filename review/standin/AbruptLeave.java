import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runners leave without having reported that they drain, just as the leading node is cut off from the store. */
final class AbruptLeave {

  private static final int RUNNERS = 13;
  private static final int ROUNDS = 4;
  private static final int LEAVING = 3;
  private static final double DRAIN_SECONDS = 2.0;

  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, AbruptLeave::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    StringBuilder models = new StringBuilder("{\"name\":\"m0\",\"weights_mb\":65100.0,\"load_s\":6.0,"
        + "\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.38,\"disk_load_s\":0.49}");
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"summary\",\"host\":"
        + "\"llm.example\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":12000,"
        + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,"
        + "\"resumable\":true,\"gap_target_ms\":250}],\"services\":[{\"name\":\"llm\",\"health_path\":"
        + "\"/health\",\"max_connections\":250,\"engine\":{\"slots\":32,\"kv_cache_tokens\":125429,"
        + "\"weights_mb\":200000.0,\"adapter_slots\":8,\"loads_per_s\":6.7,\"models\":[" + models
        + "]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    List<Lab.Runner> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(lab.new Runner("i-llm" + i, "llm", List.of("m0"), 3, 6_000, 120));
    }
    for (int i = 1; i <= 4; i++) {
      lab.new Node("n" + i).storeLink = lab.new StoreLink();
    }
    lab.restartNodes();
    Lab.sleep(5_000);
    AtomicBoolean stopped = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> {
        for (int j = 0; !stopped.get(); j++) {
          Lab.Node node = lab.nodes.get(client % lab.nodes.size());
          if (node.process.isAlive()) {
            lab.request(node, "POST", "llm.example", "/chat/2f", "s" + client + "-" + j, 12000,
                Map.of("X-Wisteriarail-Model", "m0", "X-Wisteriarail-Token-Usage", "826,49"), "prompt".getBytes());
          }
          Lab.sleep(30);
        }
      }));
    }
    Lab.sleep(5_000);
    int late = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      late += round(lab, runners, round, trouble);
    }
    stopped.set(true);
    for (Thread each : clients) {
      each.join();
    }
    return late > 0;
  }

  /** Lets some runners leave and others join; returns how many requests reached the former too late. */
  private static int round(Lab lab, List<Lab.Runner> runners, int round, boolean trouble) throws Exception {
    Lab.Node leader = leader(lab);
    lab.note("round %d: node %s leads", round, leader.name);
    if (trouble) {
      lab.note("node %s is cut off from the store", leader.name);
      leader.storeLink.cut = true;
    }
    List<Lab.Runner> leaving = List.copyOf(runners.subList(0, LEAVING));
    runners.removeAll(leaving);
    Map<String, Double> goneAt = new HashMap<>();
    for (Lab.Runner each : leaving) {
      each.leave();
      goneAt.put(each.id, Lab.seconds());
      lab.note("the store has accepted that runner %s is gone; it serves on", each.id);
    }
    Lab.sleep(4_000);
    leader.storeLink.cut = false;
    lab.note("%s", trouble ? "the cut has healed" : "no cut");
    for (Lab.Runner each : leaving) {
      each.stop();
      runners.add(lab.new Runner(each.id + "n", "llm", List.of("m0"), 3, 6_000, 120));
    }
    int late = 0;
    double latest = 0;
    int leaderNumber = lab.nodes.indexOf(leader);
    for (Lab.Run each : lab.runs) {
      int client = Integer.parseInt(each.id().substring(1, each.id().indexOf('-')));
      double after = each.at() - goneAt.getOrDefault(each.runner(), Double.MAX_VALUE);
      // The node that is cut off is not in touch.
      if (after > 0 && client % lab.nodes.size() != leaderNumber) {
        latest = Math.max(latest, after);
        if (after > DRAIN_SECONDS) {
          late++;
          lab.note("LATE: request %s reached runner %s %.3f s after it was gone", each.id(), each.runner(), after);
        }
      }
    }
    lab.note("round %d: %d requests reached runners later than drain_ms; the last after %.3f s", round, late, latest);
    Lab.sleep(4_500);
    return late;
  }

  /** Returns the node that gained the lease last. */
  private static Lab.Node leader(Lab lab) throws Exception {
    Lab.Node leader = null;
    String newest = "";
    for (Lab.Node node : lab.nodes) {
      for (String line : node.logged("\"lease gained\"")) {
        String time = line.substring(line.indexOf("\"time\":\""), line.indexOf("\"time\":\"") + 32);
        if (time.compareTo(newest) > 0) {
          newest = time;
          leader = node;
        }
      }
    }
    return leader == null ? lab.nodes.getFirst() : leader;
  }
}
