import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** One request crashes each runner that runs it, just after the first event of its answer. */
final class DeadlyRequest {

  private static final int RUNNERS = 6;
  private static final double STABILITY_SECONDS = 3.0;
  private static final String DEADLY_BODY = "the prompt that crashes runners";

  private final Lab lab;
  private final boolean afterFirstEvent;
  private final List<Double> crashes = new CopyOnWriteArrayList<>();
  private final List<Double> arrivals = new CopyOnWriteArrayList<>();
  private final AtomicInteger started = new AtomicInteger();

  private DeadlyRequest(Lab lab, boolean afterFirstEvent) {
    this.lab = lab;
    this.afterFirstEvent = afterFirstEvent;
  }

  /**
   * Plays the case. With the property "before" the runners crash before the first event; with "kills",
   * too, all nodes are killed several times, and the request comes only while they are in touch.
   */
  public static void main(String[] args) throws Exception {
    Lab.play(args, 300, (lab, trouble) -> new DeadlyRequest(lab, !Boolean.getBoolean("before")).run(trouble));
  }

  /** A runner that crashes on the deadly request, and is back under another identifier. */
  private final class FragileRunner extends Lab.Runner {

    FragileRunner() throws IOException {
      lab.super("i-llm" + started.incrementAndGet(), "llm", List.of("m0"), 3, 6_000, 60);
    }

    @Override
    byte[] serve(Lab.Message request, Socket socket) throws IOException {
      if (!new String(request.body(), UTF_8).equals(DEADLY_BODY)) {
        return super.serve(request, socket);
      }
      String name = request.field("X-Wisteriarail-Request-Id", "");
      arrivals.add(Lab.seconds());
      lab.note("deadly request %s runs at %s", name, id);
      Lab.sleep(40);
      if (afterFirstEvent) {
        String event = "id: 1\ndata: " + name + "\n\n";
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: " + name
            + "\r\nX-Wisteriarail-Response-Signature: " + id + "." + name + "\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(event.length()) + "\r\n" + event
            + "\r\n").getBytes(UTF_8));
        Lab.sleep(20);
      }
      crashes.add(Lab.seconds());
      lab.note("runner %s crashes on it (crash %d)", id, crashes.size());
      socket.setSoLinger(true, 0);
      stop();
      Thread.ofVirtual().start(() -> {
        Lab.sleep(2_500);
        lab.store.put("keyed.servers", id, "");
        try {
          FragileRunner next = new FragileRunner();
          lab.note("runner %s is back as %s", id, next.id);
        } catch (IOException failed) {
          lab.note("no runner: %s", failed);
        }
      });
      return null;
    }
  }

  private boolean run(boolean trouble) throws Exception {
    lab.store.put("keyed.op", "config", "{\"version\":7,\"routes\":[{\"name\":\"plan-draft\",\"host\":"
        + "\"llm.example\",\"path_prefix\":\"/plan/\",\"kind\":\"streaming\",\"timeout_ms\":20000,"
        + "\"target_latency_ms\":2000,\"priority\":0,\"service\":\"llm\",\"max_attempts\":1,\"sticky\":true,"
        + "\"resumable\":false,\"gap_target_ms\":300}],\"services\":[{\"name\":\"llm\",\"health_path\":"
        + "\"/health\",\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_cache_tokens\":156381,"
        + "\"weights_mb\":220000.0,\"adapter_slots\":8,\"loads_per_s\":5.5,\"models\":[{\"name\":\"m0\","
        + "\"weights_mb\":65100.0,\"load_s\":6.0,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.38,"
        + "\"disk_load_s\":0.49}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    for (int i = 0; i < RUNNERS; i++) {
      new FragileRunner();
    }
    lab.startNodes(3);
    List<Thread> clients = new ArrayList<>();
    double until = Lab.seconds() + 40;
    int[] sound = new int[2];
    for (int i = 0; i < 6; i++) {
      int client = i;
      clients.add(Thread.ofVirtual().start(() -> {
        for (int j = 0; Lab.seconds() < until; j++) {
          int status = send(client, "s" + client + "-" + j, "prompt " + client + "-" + j).status();
          synchronized (sound) {
            sound[0]++;
            sound[1] += status == 200 ? 1 : 0;
          }
          Lab.sleep(200);
        }
      }));
    }
    Lab.sleep(3_000);
    for (int i = 0; Lab.seconds() < until; i++) {
      if (Boolean.getBoolean("kills") && i % 2 == 0 && i > 0) {
        lab.killNodes();
        Lab.sleep(500);
        lab.restartNodes();
        Lab.sleep(Math.round(STABILITY_SECONDS * 1000) + 500);
      }
      if (trouble) {
        int number = i;
        clients.add(Thread.ofVirtual().start(() -> send(number, "deadly-" + number, DEADLY_BODY)));
      }
      Lab.sleep(1_500);
    }
    for (Thread each : clients) {
      each.join();
    }
    lab.note("%d sound requests, %d served; %d crashes", sound[0], sound[1], crashes.size());
    if (crashes.size() < 3) {
      return false;
    }
    double limit = crashes.get(2) + STABILITY_SECONDS;
    long late = arrivals.stream().filter(at -> at > limit).count();
    lab.note("%d retries of the deadly request reached runners later than stability_window_ms after the third crash",
        late);
    return late > 3;
  }

  private Lab.Answer send(int client, String id, String body) {
    return lab.request(lab.nodes.get(client % 3), "POST", "llm.example", "/plan/2f", id, 20_000,
        Map.of("X-Wisteriarail-Model", "m0", "X-Wisteriarail-Token-Usage", "826,49",
            "X-Wisteriarail-Prompt-Prefix", "5c1e07a2:198," + Integer.toHexString(body.hashCode()) + ":628"),
        body.getBytes(UTF_8));
  }
}
