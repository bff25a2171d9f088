import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All nodes are down for longer than the store keeps records; then they start again. */
final class LeaseExpiry {

  private static final int MODELS = 22;
  private static final int REQUESTS = 20;
  private static final long KEEP_SECONDS = 20;
  private static final long DOWN_MILLIS = 24_000;
  private static final long RECOVERY_MILLIS = 12_000;

  public static void main(String[] args) throws Exception {
    Lab.play(args, KEEP_SECONDS, LeaseExpiry::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    StringBuilder models = new StringBuilder();
    for (int i = 0; i < MODELS; i++) {
      models.append(i == 0 ? "" : ",").append("{\"name\":\"m" + i + "\",\"weights_mb\":65100.0,"
          + "\"load_s\":0.5,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.38,\"disk_load_s\":0.49}");
    }
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"menu-chat\",\"host\":"
        + "\"llm.example\",\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":6000,"
        + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,"
        + "\"resumable\":true,\"gap_target_ms\":300}],\"services\":[{\"name\":\"llm\",\"health_path\":"
        + "\"/health\",\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_cache_tokens\":156381,"
        + "\"weights_mb\":140000.0,\"adapter_slots\":8,\"loads_per_s\":5.5,\"models\":[" + models
        + "]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    lab.new Runner("i-llm1", "llm", List.of("m0", "m1"), 2, 400, 20);
    lab.startNodes(3);
    int before = requests(lab, "before", REQUESTS);
    lab.note("before the fault: %d of 20 served; lease records %d to %d", before,
        lab.store.first("wisteriarail-orders"), lab.store.end("wisteriarail-orders"));
    if (before * 4 < REQUESTS) {
      throw new IllegalStateException("too little was served before the fault");
    }
    if (trouble) {
      lab.killNodes();
      Lab.sleep(DOWN_MILLIS);
      lab.note("lease records kept: %d to %d", lab.store.first("wisteriarail-orders"),
          lab.store.end("wisteriarail-orders"));
      lab.restartNodes();
    }
    Lab.sleep(RECOVERY_MILLIS + 500);
    long callsBefore = lab.store.calls;
    double from = Lab.seconds();
    int after = requests(lab, "after", REQUESTS);
    lab.note("after recovery_s: %d of 20 served; lease records %d to %d; %.0f calls to the store a second",
        after, lab.store.first("wisteriarail-orders"), lab.store.end("wisteriarail-orders"),
        (lab.store.calls - callsBefore) / (Lab.seconds() - from));
    return after * 4 < REQUESTS;
  }

  /** Sends requests for changing models, as after a shift of the demand; returns how many were served. */
  private static int requests(Lab lab, String phase, int count) throws Exception {
    List<Thread> clients = new ArrayList<>();
    int[] served = new int[1];
    for (int i = 0; i < count; i++) {
      int number = i;
      Thread client = Thread.ofVirtual().start(() -> {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Wisteriarail-Model", "m" + (2 + number % (MODELS - 2)));
        fields.put("X-Wisteriarail-Token-Usage", "826,49");
        fields.put("X-Wisteriarail-Prompt-Prefix", "5c1e07a2:198,91bd3" + Integer.toHexString(number) + ":628");
        Lab.Answer answer = lab.request(lab.nodes.get(number % 3), "POST", "llm.example",
            "/chat/2f", phase + "-" + number, 6000, fields, "prompt".getBytes());
        if (answer.status() == 200) {
          synchronized (served) {
            served[0]++;
          }
        }
      });
      clients.add(client);
      Lab.sleep(1_000);
    }
    for (Thread each : clients) {
      each.join();
    }
    return served[0];
  }
}
