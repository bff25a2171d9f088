import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound runner: a model runner that carries out orders and streams events, or a plain one. */
final class Runner implements AutoCloseable {

  /** A request that reached this runner. */
  record Arrival(long atMillis, String request, String tenant, String credentials) {}

  /** An order that was accepted or refused. */
  record Order(long atMillis, String runner, String holder, long token, int status, String text) {}

  final String id;
  final String service;
  final CaseLog record;
  private final String ip;
  private final boolean engine;
  private final long born = System.currentTimeMillis();
  private final TreeSet<String> models = new TreeSet<>();
  private final TreeSet<String> onDisk = new TreeSet<>();
  private final Http.Server server;
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final List<Order> orders = new ArrayList<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, Integer> runs = new TreeMap<>();
  private final Store store;
  private boolean checksFences = true;
  private long busyUntil;
  private String loading = "";
  private long sequence;
  private long beats;
  private long fence;
  private int running;
  private volatile boolean draining;

  /** Requests that crash this runner as it begins to run them, and what follows. */
  volatile Predicate<Http.Request> crashesOn = request -> false;

  volatile Runnable onCrash = () -> {};

  /** Time of a load of a model that the runner never held, and of one that it held before. */
  int loadMillis = 1_000;

  int diskLoadMillis = 400;
  int places = 2;
  int events = 6;
  int eventMillis = 20;
  int workMillis = 20;

  Runner(
      String ip, String id, String service, boolean engine, List<String> held, Store store,
      CaseLog record)
      throws IOException {
    this.ip = ip;
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.store = store;
    this.record = record;
    models.addAll(held);
    onDisk.addAll(held);
    server = new Http.Server(ip, 0, this::handle);
    timer.scheduleAtFixedRate(this::beat, 0, 1_000, TimeUnit.MILLISECONDS);
  }

  void setChecksFences(boolean checks) {
    checksFences = checks;
  }

  String address() {
    return ip + ":" + server.port();
  }

  synchronized List<Order> orders() {
    return List.copyOf(orders);
  }

  synchronized List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  /** Removes this runner's entry; it serves on until it exits. Returns when the store had it. */
  long leaveUnreported(long servesMillis) {
    timer.shutdownNow();
    store.put("keyed.servers", id, "");
    long at = record.millis();
    record.line("the entry of " + id + " is removed");
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(servesMillis);
              } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
              }
              record.line(id + " exits");
              server.close();
            });
    return at;
  }

  synchronized Map<String, Integer> runs() {
    return new TreeMap<>(runs);
  }

  synchronized TreeSet<String> models() {
    settle();
    return new TreeSet<>(models);
  }

  private void settle() {
    if (!loading.isEmpty() && System.nanoTime() >= busyUntil) {
      models.add(loading);
      onDisk.add(loading);
      loading = "";
    }
  }

  private boolean busy() {
    return System.nanoTime() < busyUntil;
  }

  private String describe() {
    StringBuilder list = new StringBuilder();
    for (String model : models) {
      list.append(list.isEmpty() ? "" : ",");
      list.append("{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}");
    }
    StringBuilder disk = new StringBuilder();
    for (String model : onDisk) {
      disk.append(disk.isEmpty() ? "" : ",").append("\"" + model + "\"");
    }
    return (engine ? "\"stage\":\"prefill_decode\",\"models\":[" + list + "]," : "")
        + (engine ? "\"available\":{\"in_memory\":[],\"on_disk\":[" + disk + "]}," : "")
        + "\"born\":"
        + born;
  }

  private void beat() {
    String entry;
    synchronized (this) {
      settle();
      entry =
          "{\"service\":\"" + service + "\",\"address\":\"" + address()
              + "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":" + (engine ? 64 : 6)
              + ",\"state\":\"" + (draining ? "draining" : "ready")
              + "\",\"cold_remaining_ms\":0," + describe() + ",\"sequence\":" + ++beats + "}";
    }
    store.put("keyed.servers", id, entry);
  }

  private void handle(Http.Request request, Http.Answer answer) throws Exception {
    String expected = request.header("X-Wisteriarail-Expected-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      answer.send(421, Map.of("X-Wisteriarail-Instance-Id", id), new byte[0]);
      return;
    }
    switch (request.path()) {
      case "/wisteriarail/report" -> report(answer);
      case "/wisteriarail/order" -> order(request, answer);
      case "/health" ->
          answer.send(200, Map.of("X-Wisteriarail-Instance-Id", id), new byte[0]);
      default -> serve(request, answer);
    }
  }

  private void report(Http.Answer answer) throws IOException {
    String json;
    synchronized (this) {
      settle();
      json =
          "{" + describe() + ",\"busy\":" + busy() + ",\"sequence\":" + sequence
              + ",\"waiting\":0,\"running_count\":" + running
              + ",\"kv_cache_used\":0,\"kv_cache_total\":150000,\"handles\":0}";
    }
    answer.json(200, json);
  }

  private void order(Http.Request request, Http.Answer answer) throws IOException {
    String body = new String(request.body(), StandardCharsets.UTF_8);
    int status;
    synchronized (this) {
      settle();
      long token = Long.parseLong(field(body, "fencing_token"));
      String holder = field(body, "holder");
      String model = field(body, "model");
      String expect = field(body, "expect");
      boolean load = field(body, "operation").equals("model_load");
      if (checksFences && token < fence) {
        status = 412;
      } else if (busy() || (!expect.isEmpty() && Long.parseLong(expect) != sequence)) {
        status = 409;
        fence = Math.max(fence, token);
      } else if (load == models.contains(model)) {
        status = 200;
        fence = Math.max(fence, token);
      } else {
        status = 202;
        fence = Math.max(fence, token);
        sequence++;
        if (load) {
          loading = model;
          int millis = onDisk.contains(model) ? diskLoadMillis : loadMillis;
          busyUntil = System.nanoTime() + millis * 1_000_000L;
        } else {
          models.remove(model);
          busyUntil = System.nanoTime() + 30_000_000L;
        }
      }
      orders.add(new Order(record.millis(), id, holder, token, status, body));
      record.line("order at " + id + ": " + body + " -> " + status);
    }
    answer.json(status, "{}");
  }

  private void serve(Http.Request request, Http.Answer answer) throws Exception {
    String requestId = request.header("X-Wisteriarail-Request-Id");
    String model = request.header("X-Wisteriarail-Model");
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Wisteriarail-Request-Id", requestId);
    synchronized (this) {
      arrivals.add(
          new Arrival(
              record.millis(),
              requestId,
              request.header("X-Wisteriarail-Tenant"),
              request.header("Authorization")));
      settle();
      if (engine && !models.contains(model)) {
        headers.put("X-Wisteriarail-Not-Executed", "1");
        answer.send(421, headers, new byte[0]);
        return;
      }
      runs.merge(requestId, 1, Integer::sum);
      running++;
    }
    record.line("run of " + requestId + " at " + id);
    if (crashesOn.test(request)) {
      record.line(id + " crashes");
      close();
      onCrash.run();
      throw new IOException("crashed");
    }
    try {
      headers.put("X-Wisteriarail-Response-Signature", id + "." + requestId);
      if (engine) {
        String last = request.header("Last-Event-Id");
        headers.put("Content-Type", "text/event-stream");
        answer.begin(200, headers);
        boolean quick = request.path().endsWith("/quick");
        int events = quick ? 6 : this.events;
        int eventMillis = quick ? 20 : this.eventMillis;
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= events; i++) {
          Thread.sleep(eventMillis);
          answer.chunk("id: " + i + "\ndata: " + requestId + "\n\n");
        }
        answer.end();
      } else {
        Thread.sleep(workMillis);
        answer.send(200, headers, ("done " + requestId).getBytes());
      }
    } finally {
      synchronized (this) {
        running--;
      }
    }
  }

  private static String field(String json, String name) {
    Matcher found =
        Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|([0-9]+))").matcher(json);
    if (!found.find()) {
      return "";
    }
    return found.group(2) != null ? found.group(2) : found.group(3);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    server.close();
  }
}
