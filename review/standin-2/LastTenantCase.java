import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A configuration takes away the keys of the only tenant, and the tenant with them. */
final class LastTenantCase {

  private static final int CONFIG_APPLY_MS = 2_000;
  private static final String HELD_KEY = "asnmgkcuyj8pjbvk9m68";
  private static final String NEVER_HELD_KEY = "zzzzzzzzzzzzzzzzzzzz";
  private static final int REQUESTS = 20;

  public static void main(String[] args) {
    Fleet.run(args, 300, LastTenantCase::holds);
  }

  private static boolean holds(Fleet fleet, boolean trouble) throws Exception {
    // For comparison: the tenant stays, without keys.
    boolean tenantStays = "1".equals(System.getenv("TENANT_STAYS"));
    fleet.bounds.putAll(Fleet.TENANT_BOUNDS);
    String tenants = "[{\"name\":\"hule930\",\"api_keys\":[\"" + HELD_KEY + "\"]}]";
    fleet.store.put("keyed.op", "config", Config.json(1, List.of("m0"), 6.0, 0.5, tenants));
    for (int i = 0; i < 3; i++) {
      fleet.plain("i-plain" + i);
    }
    fleet.addNodes(2);
    if (!fleet.startNodes(20_000)) {
      throw new IllegalStateException("the nodes did not become ready");
    }
    Thread.sleep(4_000);
    Map<String, Integer> heldBefore = ask(fleet, "held-before", HELD_KEY);
    Map<String, Integer> neverBefore = ask(fleet, "never-before", NEVER_HELD_KEY);
    fleet.record.say("before: with the tenant's key " + heldBefore + ", with a key never held " + neverBefore);
    if (heldBefore.getOrDefault("200", 0) < REQUESTS / 2) {
      throw new IllegalStateException("the key does not work");
    }
    if (trouble) {
      String left = tenantStays ? "[{\"name\":\"hule930\",\"api_keys\":[]}]" : "[]";
      fleet.store.put("keyed.op", "config", Config.json(4, List.of("m0"), 6.0, 0.5, left));
      fleet.record.say("version 4 is acknowledged, with \"tenants\": " + left);
    }
    Thread.sleep(CONFIG_APPLY_MS + 1_000);
    Map<String, Integer> heldAfter = ask(fleet, "held-after", HELD_KEY);
    Map<String, Integer> neverAfter = ask(fleet, "never-after", NEVER_HELD_KEY);
    fleet.record.say("after: with the tenant's key " + heldAfter + ", with a key never held " + neverAfter);
    int never = 0;
    int dropped = 0;
    int passedOn = 0;
    for (Runner runner : fleet.runners) {
      for (Runner.Arrival arrival : runner.arrivals()) {
        never += arrival.request().startsWith("never") ? 1 : 0;
        dropped += trouble && arrival.request().startsWith("held-after") ? 1 : 0;
        passedOn += arrival.credentials().isEmpty() ? 0 : 1;
      }
    }
    fleet.record.say(
        "runs with a key that no configuration ever held: " + never
            + ", runs later than config_apply_ms with the dropped key: " + dropped
            + ", runs to which the key was passed on: " + passedOn);
    // ROUTE: a request runs whose key no configuration ever held. CONFIG: it is run with a dropped
    // key. UNASKED: the key itself was passed on.
    return never == 0 && dropped == 0 && passedOn == 0;
  }

  private static Map<String, Integer> ask(Fleet fleet, String phase, String key) throws Exception {
    Map<String, Integer> answers = new TreeMap<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      String id = phase + "-" + i;
      Node node = fleet.nodes.get(i % fleet.nodes.size());
      threads.add(Thread.ofVirtual().start(() -> send(fleet, node, id, key, answers)));
      Thread.sleep(50);
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return answers;
  }

  private static void send(
      Fleet fleet, Node node, String id, String key, Map<String, Integer> answers) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Config.HOST);
    headers.put("Authorization", "Bearer " + key);
    headers.put("X-Wisteriarail-Request-Id", id);
    headers.put("X-Wisteriarail-Deadline-Ms", "2000");
    String answer;
    try (Http.Connection connection = new Http.Connection(node.ip, node.callers)) {
      Http.Response response =
          connection.exchange("GET", "/status/report", headers, new byte[0], 3_000, sent -> {});
      answer = Integer.toString(response.status());
    } catch (Exception failure) {
      answer = failure.toString();
    }
    fleet.record.line("request " + id + " to " + node.name + " answered " + answer);
    synchronized (answers) {
      answers.merge(answer, 1, Integer::sum);
    }
  }
}
