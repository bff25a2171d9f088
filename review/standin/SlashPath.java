import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Clients send paths with an empty first segment, which are to be forwarded unchanged. */
final class SlashPath {

  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, SlashPath::run);
  }

  private static boolean run(Lab lab, boolean trouble) throws Exception {
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"all\",\"host\":"
        + "\"app.example\",\"path_prefix\":\"/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1000,"
        + "\"target_latency_ms\":121,\"priority\":2,\"service\":\"app\",\"max_attempts\":1},"
        + "{\"name\":\"orders\",\"host\":\"app.example\",\"path_prefix\":\"/orders/\",\"kind\":"
        + "\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":121,\"priority\":2,"
        + "\"service\":\"app\",\"max_attempts\":1}],"
        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":110}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    lab.new Runner("i-app0", "app", List.of(), 0, 0, 21);
    lab.startNodes(3);
    List<String> targets = List.of("drafts/orders/7/cancel", "a/orders/7?x=1", "a", "a/b//c");
    int changed = 0;
    for (int i = 0; i < 24; i++) {
      String id = "q" + i;
      String target = (trouble ? "//" : "/") + targets.get(i % targets.size());
      lab.note("request %s: POST %s", id, target);
      Lab.Answer answer = lab.request(lab.nodes.get(i % 3), "POST", "app.example", target, id, 1000,
          Map.of(), "{}".getBytes());
      for (Lab.Run run : lab.runs) {
        if (run.id().equals(id) && !run.target().equals(target)) {
          changed++;
          lab.note("CHANGED: request %s was sent as %s, ran as %s, and got %d", id, target,
              run.target(), answer.status());
        }
      }
    }
    lab.note("%d of 24 requests ran with another path; %d ran", changed, lab.runs.size());
    if (lab.runs.isEmpty()) {
      throw new IllegalStateException("no request ran");
    }
    return changed > 0;
  }
}
