import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Runners crash one after the other while they serve a request that many clients send. */
final class CrashedRunners {

  private static final int CLIENTS = 36;
  private static final int RUNNERS = 3;
  private static final int CRASHES = 6;
  private static final long LIMIT_MILLIS = 4_000;
  private static final long RECOVERY_MILLIS = 12_000;

  private final Lab lab;
  private final AtomicInteger number = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicBoolean stopped = new AtomicBoolean();

  private CrashedRunners(Lab lab) {
    this.lab = lab;
  }

  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, (lab, trouble) -> new CrashedRunners(lab).run(trouble));
  }

  private boolean run(boolean trouble) throws Exception {
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"slot-lookup\",\"host\":"
        + "\"app.example\",\"path_prefix\":\"/slots/\",\"kind\":\"idempotent\",\"timeout_ms\":4000,"
        + "\"target_latency_ms\":386,\"priority\":1,\"service\":\"app\",\"max_attempts\":2}],"
        + "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":96}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    List<Lab.Runner> runners = new ArrayList<>();
    for (int i = 0; i < RUNNERS; i++) {
      runners.add(lab.new Runner("i-app" + i, "app", List.of(), 0, 0, 86));
    }
    lab.startNodes(3);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> callAgainAndAgain(client)));
    }
    Lab.sleep(12_000);
    int[] calm = phase("before the faults");
    if (trouble) {
      for (int i = 0; i < CRASHES; i++) {
        Lab.Runner crashed = runners.get(i);
        lab.note("runner %s crashes", crashed.id);
        crashed.stop();
        Lab.sleep(2_000);
        lab.store.put("keyed.servers", crashed.id, "");
        Lab.Runner next = lab.new Runner("i-app" + (RUNNERS + i), "app", List.of(), 0, 0, 86);
        runners.add(next);
        lab.note("runner %s is back as %s", crashed.id, next.id);
        Lab.sleep(2_000);
      }
    }
    int[] before = phase("until the final fault, since the faults began");
    if (trouble) {
      lab.killNodes();
      Lab.sleep(1_000);
      lab.restartNodes();
    }
    Lab.sleep(RECOVERY_MILLIS + 500);
    phase("until recovery_s after the machines are back");
    Lab.sleep(8_000);
    int[] after = phase("later than recovery_s after the machines are back");
    stopped.set(true);
    for (Thread each : clients) {
      each.join();
    }
    boolean broken = after[1] * 4 < after[0];
    boolean servedBefore = (calm[1] + before[1]) * 4 >= calm[0] + before[0];
    return servedBefore && after[1] * 4 < after[0];
  }

  private int[] phase(String name) {
    int[] counts = {sent.getAndSet(0), served.getAndSet(0)};
    lab.note("%s: %d sent, %d served", name, counts[0], counts[1]);
    return counts;
  }

  private void callAgainAndAgain(int client) {
    while (!stopped.get()) {
      Lab.Answer answer = lab.request(lab.nodes.get(client % 3), "GET", "app.example", "/slots/board",
          "g" + number.incrementAndGet(), LIMIT_MILLIS, Map.of(), new byte[0]);
      sent.incrementAndGet();
      if (answer.status() == 200) {
        served.incrementAndGet();
      }
      double pause = answer.status() == 503 ? Double.parseDouble(answer.message().field("retry-after", "0")) : 0;
      Lab.sleep(150 + Math.round(Math.min(pause * 1000, LIMIT_MILLIS / 3.0)));
    }
  }
}
