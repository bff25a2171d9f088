import java.util.List;

/** Builds the operator's configuration. */
final class Config {

  static final String HOST = "calls.example";
  static final String ENGINES = "llm-pool";
  static final String PLAIN = "dispatch-app";

  private Config() {}

  static String json(long version, List<String> models, double loadSeconds, double diskSeconds) {
    return json(version, models, loadSeconds, diskSeconds, "");
  }

  /**
   * Builds a configuration.
   *
   * @param tenants the list of tenants; empty text to leave it out
   */
  static String json(
      long version,
      List<String> models,
      double loadSeconds,
      double diskSeconds,
      String tenants) {
    StringBuilder list = new StringBuilder();
    for (String model : models) {
      list.append(list.isEmpty() ? "" : ",");
      list.append(
          "{\"name\":\"" + model + "\",\"weights_mb\":72700.0,\"load_s\":" + loadSeconds
              + ",\"adapters\":0,\"adapter_mb\":66.0,\"warm_s\":" + diskSeconds
              + ",\"disk_load_s\":" + diskSeconds + "}");
    }
    return "{\"version\":" + version
        + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants)
        + ",\"routes\":["
        + route("summary", "/summary/", "streaming", 12_000, 400, 1, ENGINES, 2, true) + ","
        + route("report", "/report/", "streaming", 25_000, 2_500, 0, ENGINES, 1, false) + ","
        + route("dispatch", "/dispatch/", "non_idempotent", 4_000, 121, 2, PLAIN, 1, false) + ","
        + route("status", "/status/", "idempotent", 4_000, 121, 2, PLAIN, 2, false)
        + "],\"services\":[{\"name\":\"" + ENGINES
        + "\",\"health_path\":\"/health\",\"max_connections\":250,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":64,\"kv_cache_tokens\":150000,\"kv_token_bytes\":163840,"
        + "\"link_mbps\":1100000.0,\"weights_mb\":200000.0,\"adapter_slots\":8,"
        + "\"loads_per_s\":6.7,\"models\":[" + list + "]}},{\"name\":\"" + PLAIN
        + "\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(
      String name,
      String prefix,
      String kind,
      int timeout,
      int target,
      int priority,
      String service,
      int attempts,
      boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeout + ",\"target_latency_ms\":"
        + target + ",\"priority\":" + priority + ",\"service\":\"" + service
        + "\",\"max_attempts\":" + attempts + ",\"sticky\":" + service.equals(ENGINES)
        + ",\"resumable\":" + resumable + ",\"gap_target_ms\":300}";
  }
}
