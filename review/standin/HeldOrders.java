import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** The leading node is cut off while it gives orders; what was held up arrives after the cut. */
final class HeldOrders {

  private static final int MODELS = 24;
  private static final int RUNNERS = 8;
  private static final long CUT_MILLIS = 11_000;
  private static final long LEASE_MILLIS = 3_000;
  private static final long THAW_MILLIS = 300;
  private static final long RESENT_AFTER_MILLIS = 1_000;

  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, HeldOrders::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    lab.fencesEnforced = false;
    StringBuilder models = new StringBuilder();
    for (int i = 0; i < MODELS; i++) {
      models.append(i == 0 ? "" : ",").append("{\"name\":\"m" + i + "\",\"weights_mb\":65100.0,"
          + "\"load_s\":0.5,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.38,\"disk_load_s\":0.49}");
    }
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"crew-brief\",\"host\":"
        + "\"llm.example\",\"path_prefix\":\"/brief/\",\"kind\":\"streaming\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":600,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,"
        + "\"resumable\":true,\"gap_target_ms\":600}],\"services\":[{\"name\":\"llm\",\"health_path\":"
        + "\"/health\",\"max_connections\":360,\"engine\":{\"slots\":64,\"kv_cache_tokens\":221889,"
        + "\"weights_mb\":140000.0,\"adapter_slots\":8,\"loads_per_s\":20,\"models\":[" + models
        + "]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    Set<Lab.Node> cut = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < RUNNERS; i++) {
      Lab.Runner runner = lab.new Runner("i-llm" + i, "llm", List.of("m" + 2 * i, "m" + (2 * i + 1)), 2, 400, 20);
      runner.link = lab.new RunnerLink(runner, cut, RESENT_AFTER_MILLIS);
    }
    for (int i = 1; i <= 3; i++) {
      Lab.Node node = lab.new Node(String.format("node-%02d", i));
      node.link = lab.new PeerLink(node, cut);
      node.storeLink = lab.new StoreLink();
    }
    lab.restartNodes();
    Lab.sleep(6_000);
    AtomicBoolean stopped = new AtomicBoolean();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> {
        for (int j = 0; !stopped.get(); j++) {
          Map<String, String> fields = new LinkedHashMap<>();
          fields.put("X-Wisteriarail-Model", "m" + (client * 5 + j * 17) % MODELS);
          fields.put("X-Wisteriarail-Token-Usage", "646,17");
          lab.request(lab.nodes.get(client % 3), "POST", "llm.example", "/brief/2f", "c" + client + "-" + j, 8000,
              fields, "prompt".getBytes());
          Lab.sleep(100);
        }
      }));
    }
    Lab.sleep(20_000);
    if (lab.orderArrivals.isEmpty()) {
      throw new IllegalStateException("no order was given");
    }
    String holder = lab.orderArrivals.getLast().holder();
    Lab.Node leader = lab.nodes.stream().filter(each -> each.name.equals(holder)).findFirst().orElseThrow();
    long healed = System.nanoTime();
    if (trouble) {
      lab.note("node %s is cut off", leader.name);
      cut.add(leader);
      leader.storeLink.cut = true;
      Lab.sleep(CUT_MILLIS);
      cut.clear();
      leader.storeLink.cut = false;
      healed = System.nanoTime();
      lab.note("the cut has healed");
    }
    Lab.sleep(8_000);
    stopped.set(true);
    for (Thread each : clients) {
      each.join();
    }
    return isBroken(lab, healed);
  }

  /** Checks, for each runner, for a lower epoch after a higher one and for holders that take turns. */
  private static boolean isBroken(Lab lab, long healed) {
    Map<String, Lab.OrderArrival> highest = new HashMap<>();
    Map<String, Lab.OrderArrival> last = new HashMap<>();
    boolean broken = false;
    for (Lab.OrderArrival each : lab.orderArrivals) {
      if (each.nanos() >= healed && each.nanos() - healed <= THAW_MILLIS * 1_000_000) {
        continue;
      }
      Lab.OrderArrival higher = highest.get(each.runner());
      if (higher != null && each.fence() < higher.fence()) {
        broken = true;
        lab.note("LOWER: at %.3f runner %s got an order of %s with epoch %d, after one of %s with epoch %d",
            time(each), each.runner(), each.holder(), each.fence(), higher.holder(), higher.fence());
      }
      Lab.OrderArrival before = last.put(each.runner(), each);
      if (before != null && !before.holder().equals(each.holder())
          && each.nanos() - before.nanos() < LEASE_MILLIS * 1_000_000) {
        broken = true;
        lab.note("TURNS: runner %s got an order of %s at %.3f and one of %s at %.3f", each.runner(), before.holder(),
            time(before), each.holder(), time(each));
      }
      if (higher == null || each.fence() > higher.fence()) {
        highest.put(each.runner(), each);
      }
    }
    return broken;
  }

  private static double time(Lab.OrderArrival order) {
    return (order.nanos() - Lab.START) / 1e9;
  }
}
