import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A third of the nodes is cut off from all other nodes while the runners of a service are full. */
final class PeerCut {

  private static final int NODES = 9;
  private static final int CUT_NODES = 3;
  private static final long CUT_MILLIS = 12_000;
  private static final double RATIO = 0.2;
  private static final double SLACK = 56;
  private static final double WINDOW_NANOS = 10e9;

  private static final List<Long> SENT = new ArrayList<>();

  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, PeerCut::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"slot-lookup\",\"host\":"
        + "\"app.example\",\"path_prefix\":\"/slots/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,"
        + "\"target_latency_ms\":386,\"priority\":1,\"service\":\"app\",\"max_attempts\":2}],"
        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":96}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    for (int i = 0; i < 2; i++) {
      Lab.Runner runner = lab.new Runner("i-app" + i, "app", List.of(), 0, 0, 340);
      runner.slots = 3;
      runner.places = 4;
    }
    Set<Lab.Node> cut = ConcurrentHashMap.newKeySet();
    for (int i = 1; i <= NODES; i++) {
      Lab.Node node = lab.new Node(String.format("node-%02d", i));
      node.link = lab.new PeerLink(node, cut);
    }
    lab.restartNodes();
    Lab.sleep(6_000);
    List<Thread> clients = new ArrayList<>();
    long from = System.nanoTime();
    boolean began = false;
    for (int i = 0; System.nanoTime() - from < 26e9; i++) {
      int number = i;
      if (!began && System.nanoTime() - from > 6e9 && trouble) {
        began = true;
        // Nodes at the end of the list, among which none leads.
        cut.addAll(lab.nodes.subList(NODES - CUT_NODES, NODES));
        cut.forEach(node -> lab.note("node %s is cut off from all other nodes", node.name));
      }
      if (!cut.isEmpty() && System.nanoTime() - from > 6e9 + CUT_MILLIS * 1e6) {
        cut.clear();
        lab.note("the cut has healed");
      }
      synchronized (SENT) {
        SENT.add(System.nanoTime());
      }
      clients.add(Thread.ofVirtual().start(() -> lab.request(lab.nodes.get(number % NODES), "GET", "app.example",
          "/slots/" + number, "g" + number, 4000, Map.of(), new byte[0])));
      Lab.sleep(33);
    }
    for (Thread each : clients) {
      each.join();
    }
    return isOverBudget(lab);
  }

  /** Checks each window that ends with a repeated arrival. */
  private static boolean isOverBudget(Lab lab) {
    Set<String> seen = new HashSet<>();
    List<Long> repeats = new ArrayList<>();
    for (Lab.Arrival each : List.copyOf(lab.arrivals)) {
      if (!seen.add(each.id())) {
        repeats.add(each.nanos());
      }
    }
    double most = 0;
    boolean broken = false;
    for (long end : repeats) {
      double start = end - WINDOW_NANOS;
      long count = repeats.stream().filter(at -> at > start && at <= end).count();
      long requests = Math.max(sent(start, end),
          Math.max(sent(start - WINDOW_NANOS, start), sent(start - WINDOW_NANOS / 2, end - WINDOW_NANOS / 2)));
      double allowed = RATIO * requests + SLACK;
      if (count / allowed > most) {
        most = count / allowed;
        lab.note("in the 10 s until %.3f: %d repeated arrivals, %d requests, %.0f allowed",
            (end - Lab.START) / 1e9, count, requests, allowed);
      }
      broken |= count > allowed;
    }
    return broken;
  }

  private static long sent(double from, double until) {
    return SENT.stream().filter(at -> at > from && at <= until).count();
  }
}
