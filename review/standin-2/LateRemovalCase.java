import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Three of twenty runners are taken away at once without having reported that they drain, while the
 * machine that read the store for the others is killed.
 */
final class LateRemovalCase {

  private static final int DRAIN_MS = 2_000;
  private static final int STABILITY_WINDOW_MS = 3_000;
  private static final int RUNNERS = 20;
  private static final int LEAVING = 3;
  private static final int ROUNDS = 5;
  private static final int REQUEST_GAP_MS = 4;

  /** Time for which a runner works on an order. */
  private static final int WORK_MS = 150;

  /** Time after the store had the removals for which the runners serve on. */
  private static final int SERVES_MS = DRAIN_MS + 300;

  private record Sent(String node, long atMillis) {}

  private static final Map<String, Sent> SENT = new ConcurrentHashMap<>();
  private static final Map<String, Integer> STATUS = new ConcurrentHashMap<>();
  private static volatile boolean stopping;

  public static void main(String[] args) {
    Fleet.run(args, 300, LateRemovalCase::holds);
  }

  private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
    fleet.store.put("keyed.op", "config", Config.json(1, List.of("m0"), 6.0, 0.5));
    int started = 0;
    for (int i = 0; i < RUNNERS; i++) {
      fleet.plain("i-plain" + started++).workMillis = WORK_MS;
    }
    fleet.addNodes(5);
    if (!fleet.startNodes(20_000)) {
      throw new IllegalStateException("the nodes did not become ready");
    }
    Thread.sleep(5_000);
    Thread clients = Thread.ofPlatform().start(() -> send(fleet));
    Map<Runner, Long> removedAt = new LinkedHashMap<>();
    Map<String, Long> killedAt = new HashMap<>();
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(5_000);
      Node holder = holder(fleet);
      if (trouble) {
        fleet.record.say("SIGKILL of " + holder.name);
        killedAt.put(holder.name, fleet.record.millis());
        holder.kill();
      }
      Thread.sleep(30);
      List<Runner> usable =
          fleet.runners.stream().filter(each -> !removedAt.containsKey(each)).toList();
      for (int i = 0; i < LEAVING; i++) {
        removedAt.put(usable.get(i), usable.get(i).leaveUnreported(SERVES_MS));
      }
      Thread.sleep(3_500);
      if (trouble) {
        holder.start();
        killedAt.put(holder.name, fleet.record.millis());
      }
      for (int i = 0; i < LEAVING; i++) {
        fleet.plain("i-plain" + started++).workMillis = WORK_MS;
      }
      Thread.sleep(4_000);
    }
    stopping = true;
    clients.join();
    int late = 0;
    int lost = 0;
    for (Map.Entry<Runner, Long> each : removedAt.entrySet()) {
      for (Runner.Arrival arrival : each.getKey().arrivals()) {
        long after = arrival.atMillis() - each.getValue();
        Sent sent = SENT.get(arrival.request());
        if (after > DRAIN_MS && sent != null) {
          Long killed = killedAt.get(sent.node());
          boolean inTouch =
              killed == null
                  || sent.atMillis() < killed
                  || sent.atMillis() > killed + STABILITY_WINDOW_MS + 3_500;
          fleet.record.line(
              "request " + arrival.request() + " reached " + each.getKey().id + " from "
                  + sent.node() + " " + after + " ms after its entry was removed"
                  + (inTouch ? "" : "; that machine was not in touch"));
          late += inTouch ? 1 : 0;
          lost += inTouch && STATUS.getOrDefault(arrival.request(), 0) != 200 ? 1 : 0;
        }
      }
    }
    fleet.record.say(
        "orders: " + SENT.size() + ", answers by status: "
            + STATUS.values().stream()
                .collect(Collectors.groupingBy(each -> each, TreeMap::new, Collectors.counting())));
    fleet.record.say(
        late + " orders reached runners later than drain_ms after the store had removed them; "
            + lost + " of them ran there and were lost");
    // DRAIN: a request reaches a runner later than drain_ms after.
    return late == 0;
  }

  private static Node holder(Fleet fleet) {
    Matcher found =
        Pattern.compile("\"holder\":\"([^\"]*)\"").matcher(fleet.store.last("wisteriarail-orders"));
    if (!found.find()) {
      throw new IllegalStateException("nobody holds the lease");
    }
    return fleet.nodes.stream()
        .filter(node -> node.name.equals(found.group(1)))
        .findFirst()
        .orElseThrow();
  }

  private static void send(Fleet fleet) {
    int number = 0;
    while (!stopping) {
      Node node = fleet.nodes.get(number % fleet.nodes.size());
      String id = "order-" + number++;
      Thread.ofVirtual().start(() -> send(fleet, node, id));
      try {
        Thread.sleep(REQUEST_GAP_MS);
      } catch (InterruptedException stopped) {
        return;
      }
    }
  }

  private static void send(Fleet fleet, Node node, String id) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Config.HOST);
    headers.put("X-Wisteriarail-Request-Id", id);
    headers.put("X-Wisteriarail-Deadline-Ms", "2000");
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      SENT.put(id, new Sent(node.name, fleet.record.millis()));
      Http.Response response =
          connection.exchange("POST", "/dispatch/" + id, headers, new byte[600], 3_000, sent -> {});
      STATUS.put(id, response.status());
      fleet.record.line(
          "order " + id + " to " + node.name + " answered " + response.status() + " "
              + response.header("X-Result-Code"));
    } catch (Exception down) {
      // The machine is down.
    }
  }
}
