import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All machines are removed for good, and others with their names come at other addresses, where
 * runners check no epoch numbers.
 */
final class SameNameCase {

  private static final int LEASE_MS = 3_000;
  private static final int COMES_AFTER_MS = 100;
  private static final int MODELS = 36;
  private static volatile boolean stopping;
  private static volatile List<Node> current = List.of();

  public static void main(String[] args) {
    Fleet.run(args, 300, SameNameCase::holds);
  }

  private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
    // For comparison: the new machines have other names.
    boolean otherNames = "1".equals(System.getenv("OTHER_NAMES"));
    List<String> models = new ArrayList<>();
    for (int i = 0; i < MODELS; i++) {
      models.add("m" + (i < 10 ? "0" : "") + i);
    }
    fleet.bounds.put("fencing_enforced", "false");
    fleet.store.put("keyed.op", "config", Config.json(1, models, 0.4, 0.2));
    for (int i = 0; i < 4; i++) {
      Runner runner = fleet.engine("i-engine" + i, List.of(models.get(2 * i), models.get(2 * i + 1)));
      runner.loadMillis = 400;
      runner.diskLoadMillis = 200;
      runner.setChecksFences(false);
    }
    fleet.addNodes(2);
    if (!fleet.startNodes(20_000)) {
      throw new IllegalStateException("the nodes did not become ready");
    }
    current = List.copyOf(fleet.nodes);
    Thread clients = Thread.ofPlatform().start(() -> send(fleet, models));
    Thread.sleep(12_000);
    long removedAt = fleet.record.millis();
    if (trouble) {
      List<Node> old = List.copyOf(fleet.nodes);
      fleet.record.say("both machines are removed for good");
      for (Node node : old) {
        node.kill();
      }
      removedAt = fleet.record.millis();
      Thread.sleep(COMES_AFTER_MS);
      List<Node> next = new ArrayList<>();
      for (Node node : old) {
        String name = otherNames ? node.name + "9" : node.name;
        next.add(new Node(fleet.root, fleet.folder, node.name + "-new", name, fleet.record));
      }
      List<String> seeds = next.stream().map(Node::peerAddress).toList();
      for (Node node : next) {
        node.configure(fleet.store.address(), seeds, fleet.bounds);
        fleet.nodes.add(node);
        node.start();
      }
      current = next;
    }
    Thread.sleep(10_000);
    stopping = true;
    clients.join();
    int turns = 0;
    for (Runner runner : fleet.runners) {
      long last = -1;
      long first = -1;
      for (Runner.Order order : runner.orders()) {
        if (order.atMillis() <= removedAt) {
          last = order.atMillis();
        } else if (first < 0) {
          first = order.atMillis();
        }
      }
      fleet.record.say(
          runner.id + ": last order before " + (removedAt - last) + " ms, first order after "
              + (first - removedAt) + " ms");
      if (trouble && last >= 0 && first >= 0 && first - last < LEASE_MS) {
        turns++;
      }
    }
    fleet.record.say(
        turns + " of " + fleet.runners.size() + " runners got orders of two machines within "
            + LEASE_MS + " ms");
    return turns == 0;
  }

  private static void send(Fleet fleet, List<String> models) {
    int number = 0;
    while (!stopping) {
      Node node = current.get(number % 2);
      String model = models.get(number * 7 % models.size());
      String id = "summary-" + number++;
      Thread.ofVirtual().start(() -> send(fleet, node, id, model));
      try {
        Thread.sleep(60);
      } catch (InterruptedException stopped) {
        return;
      }
    }
  }

  private static void send(Fleet fleet, Node node, String id, String model) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Config.HOST);
    headers.put("X-Wisteriarail-Request-Id", id);
    headers.put("X-Wisteriarail-Model", model);
    headers.put("X-Wisteriarail-Token-Usage", "600,100");
    headers.put("X-Wisteriarail-Prompt-Prefix", "5c1e07a2:200," + Integer.toHexString(id.hashCode()) + ":400");
    headers.put("X-Wisteriarail-Deadline-Ms", "12000");
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      Http.Response response =
          connection.exchange("POST", "/report/quick", headers, new byte[1_700], 13_000, s -> {});
      fleet.record.line("request " + id + " for " + model + " answered " + response.status() + " " + response.header("X-Result-Code"));
    } catch (Exception down) {
      fleet.record.line("request " + id + ": " + down);
    }
  }
}
