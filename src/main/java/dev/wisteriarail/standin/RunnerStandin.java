package dev.wisteriarail.standin;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A stand-in of one of the users' runners: an engine that takes orders and streams events, or a
 * plain service.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class RunnerStandin implements AutoCloseable {

  private static final String NOT_RUN = "X-Wisteriarail-Not-Executed";
  private static final int EVENTS = 6;
  private static final long EVENT_PAUSE_MILLIS = 3;
  private static final long LOAD_MILLIS = 120;
  private static final long LARGE_LOAD_MILLIS = 4_000;

  /** Time that an adapter is in transit, and that of each fourth one. */
  private static final long TRANSIT_MILLIS = 8;

  private static final long LONG_TRANSIT_MILLIS = 700;
  private static final int LONG_TRANSIT_EACH = 4;

  /** Pauses of a slow runner: before its answer, and between two events. */
  private static final long SLOW_START_MILLIS = 1_500;

  private static final long SLOW_EVENT_MILLIS = 600;

  /** Time for which a silent runner keeps a connection. */
  private static final long SILENCE_MILLIS = 30_000;

  private static final long POLL_MILLIS = 100;

  /** Time for which a pausing runner wants nothing, in seconds, as it writes it. */
  private static final String PAUSE_SECONDS = "1.5";

  /** Models of the stand-in's size that fit into the memory of one engine. */
  static final int MODEL_PLACES = 2;

  /** Adapters that an engine may hold. */
  static final int ADAPTER_PLACES = 4;

  private final String id;
  private final String service;
  private final boolean engine;
  private final long born;
  private final Map<String, Set<String>> models = new TreeMap<>();
  private final Map<String, Long> incoming = new TreeMap<>();
  private final Map<String, Integer> runningBy = new TreeMap<>();
  private final Set<String> leaving = new TreeSet<>();
  private final Set<String> disk = new TreeSet<>();
  private final List<String> ran = new ArrayList<>();
  private final List<String> wrongOrders = new ArrayList<>();
  private StandinServer server;
  private Behaviour behaviour = Behaviour.SOUND;
  private boolean draining;
  private volatile boolean saysLeaving;
  private long orders;
  private long fence;
  private String fenceHolder = "";
  private String announced = "";
  private long busyUntilNanos;
  private String loading = "";
  private volatile boolean closed;
  private int running;
  private int arrived;

  private RunnerStandin(String id, String service, boolean engine, long born) {
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.born = born;
  }

  /** What a runner does with requests. */
  public enum Behaviour {
    /** It serves them. */
    SOUND,
    /** It says that it is full. */
    FULL,
    /** It runs them and answers with an error. */
    FAILING,
    /** It runs them and closes the connection without an answer. */
    ANSWER_LOST,
    /** It runs them and cuts its answer in the middle. */
    CUT,
    /** It answers as if to another request. */
    CROSSED,
    /** It answers without its signature. */
    UNSIGNED,
    /** It takes requests, never begins to run them and answers nothing. */
    SILENT,
    /** It answers right, after seconds. */
    SLOW,
    /** It says that it is full, and that it wants nothing from the asking node for a while. */
    PAUSING
  }

  /**
   * Starts a runner.
   *
   * @param id its identifier
   * @param service the service that it belongs to
   * @param engine whether it holds models
   * @param held models that it holds from the start
   * @param born time of its start, in Unix milliseconds
   * @throws SettingsException if no port can be bound
   */
  public static RunnerStandin start(
      String id, String service, boolean engine, List<String> held, long born)
      throws SettingsException {
    RunnerStandin runner = new RunnerStandin(id, service, engine, born);
    for (String model : held) {
      runner.models.put(model, new TreeSet<>());
      runner.disk.add(model);
    }
    runner.server = StandinServer.start(new Endpoint("127.0.0.1", 0), 1, runner::handle);
    return runner;
  }

  /** Starts the next run of an ended runner: the same identifier, nothing loaded. */
  RunnerStandin successor() throws SettingsException {
    return start(id, service, engine, List.of(), born + 1);
  }

  // Calls

  private void handle(Call call) throws IOException, InterruptedException {
    String expected = call.header("X-Wisteriarail-Expected-Instance").orElse(id);
    if (!expected.equals(id)) {
      call.setHeader("X-Wisteriarail-Instance-Id", id);
      call.reply(421, "another runner");
      return;
    }
    if (saysLeaving) {
      call.setHeader("Server-Leaving", "1");
    }
    switch (call.path()) {
      case "/wisteriarail/report" -> call.replyJson(report());
      case "/wisteriarail/order" -> order(call);
      default -> serve(call);
    }
  }

  private synchronized Map<String, Object> report() {
    Map<String, Object> report = new LinkedHashMap<>(description());
    report.put("busy", isBusy());
    report.put("incoming", incoming.keySet().stream().map(name -> name + "@1").toList());
    report.put("sequence", orders);
    report.put("waiting", 0);
    report.put("running_count", running);
    report.put("kv_cache_used", 0);
    return report;
  }

  private Map<String, Object> description() {
    settleAdapters();
    List<Map<String, Object>> held = new ArrayList<>();
    models.forEach(
        (name, adapters) -> {
          if (!isLoading(name)) {
            held.add(Map.of("name", name, "version", 1, "adapters", List.copyOf(adapters)));
          }
        });
    Map<String, Object> description = new LinkedHashMap<>();
    description.put("models", held);
    description.put("available", Map.of("in_memory", List.of(), "on_disk", List.copyOf(disk)));
    description.put("born", born);
    return description;
  }

  private boolean isBusy() {
    return System.nanoTime() < busyUntilNanos;
  }

  private boolean isLoading(String model) {
    return isBusy() && model.equals(loading);
  }

  private static long loadMillis(String model) {
    boolean large = Integer.parseInt(model.substring(1)) >= PlatformStandin.FIRST_LARGE_MODEL;
    return large ? LARGE_LOAD_MILLIS : LOAD_MILLIS;
  }

  private synchronized void order(Call call) throws IOException {
    Map<?, ?> order = Codecs.json().readValue(call.body(), Map.class);
    long token = ((Number) order.get("fencing_token")).longValue();
    final Object expect = order.get("expect");
    if (token < fence) {
      call.reply(412, "an older fencing number");
      return;
    }
    String holder = (String) order.get("holder");
    if (token == fence && !holder.equals(fenceHolder)) {
      wrongOrders.add("two holders with fencing number " + token);
    }
    fence = token;
    fenceHolder = holder;
    if (isBusy() || (expect != null && ((Number) expect).longValue() != orders)) {
      call.reply(409, "another order");
      return;
    }
    orders++;
    String model = (String) order.get("model");
    String adapter = (String) order.get("adapter");
    boolean load = "model_load".equals(order.get("operation"));
    if (adapter != null) {
      call.reply(load ? loadAdapter(model, adapter) : unloadAdapter(model, adapter), "");
      return;
    }
    if (load) {
      models.putIfAbsent(model, new TreeSet<>());
      disk.add(model);
      loading = model;
      busyUntilNanos = System.nanoTime() + loadMillis(model) * 1_000_000;
      noteHeld();
    } else {
      models.remove(model);
      incoming.keySet().removeIf(name -> name.startsWith(model + "/"));
    }
    call.reply(202, "");
  }

  private int loadAdapter(String model, String adapter) {
    settleAdapters();
    String name = model + "/" + adapter;
    leaving.remove(name);
    if (models.getOrDefault(model, Set.of()).contains(adapter) || !models.containsKey(model)) {
      return 200;
    }
    boolean slow = orders % LONG_TRANSIT_EACH == 0;
    long millis = slow ? LONG_TRANSIT_MILLIS : TRANSIT_MILLIS;
    incoming.putIfAbsent(name, System.nanoTime() + millis * 1_000_000);
    noteHeld();
    return 202;
  }

  /** An adapter that requests use goes when they have ended. */
  private int unloadAdapter(String model, String adapter) {
    settleAdapters();
    String name = model + "/" + adapter;
    if (runningBy.getOrDefault(name, 0) > 0) {
      leaving.add(name);
      return 202;
    }
    models.getOrDefault(model, new TreeSet<>()).remove(adapter);
    return 200;
  }

  private void settleAdapters() {
    long now = System.nanoTime();
    for (String name : List.copyOf(incoming.keySet())) {
      if (now - incoming.get(name) >= 0) {
        incoming.remove(name);
        int slash = name.indexOf('/');
        models
            .getOrDefault(name.substring(0, slash), new TreeSet<>())
            .add(name.substring(slash + 1));
      }
    }
  }

  private void noteHeld() {
    if (models.size() > MODEL_PLACES) {
      wrongOrders.add("told to hold " + models.keySet());
    }
    int adapters = incoming.size() + models.values().stream().mapToInt(Set::size).sum();
    if (adapters > ADAPTER_PLACES) {
      wrongOrders.add("told to hold " + adapters + " adapters");
    }
  }

  private void serve(Call call) throws IOException, InterruptedException {
    String request = call.header("X-Wisteriarail-Request-Id").orElse("");
    if (request.isEmpty()) {
      call.setHeader(NOT_RUN, "1");
      call.reply(400, "no identifier");
      return;
    }
    Behaviour now = begin(call, request);
    if (call.answered()) {
      return;
    }
    try {
      answer(call, request, now);
    } finally {
      finish(named(call));
    }
  }

  private synchronized Behaviour begin(Call call, String request) throws IOException {
    call.setHeader("X-Wisteriarail-Request-Id", request);
    arrived++;
    if (behaviour == Behaviour.FULL || behaviour == Behaviour.PAUSING) {
      call.setHeader(NOT_RUN, "1");
      if (behaviour == Behaviour.PAUSING) {
        call.setHeader("Retry-After", PAUSE_SECONDS);
      }
      call.reply(503, "full");
    } else if (engine && !holds(named(call))) {
      call.setHeader(NOT_RUN, "1");
      call.reply(421, "not loaded");
    } else {
      if (behaviour != Behaviour.SILENT) {
        ran.add(request);
      }
      running++;
      runningBy.merge(named(call), 1, Integer::sum);
    }
    return behaviour;
  }

  private static String named(Call call) {
    return call.header("X-Wisteriarail-Model").orElse("");
  }

  private boolean holds(String named) {
    settleAdapters();
    int slash = named.indexOf('/');
    String model = slash < 0 ? named : named.substring(0, slash);
    return !isLoading(model)
        && models.containsKey(model)
        && !leaving.contains(named)
        && (slash < 0 || models.get(model).contains(named.substring(slash + 1)));
  }

  private synchronized void finish(String named) {
    running--;
    if (runningBy.merge(named, -1, Integer::sum) == 0 && leaving.remove(named)) {
      unloadAdapter(
          named.substring(0, named.indexOf('/')), named.substring(named.indexOf('/') + 1));
    }
  }

  private void answer(Call call, String request, Behaviour how)
      throws IOException, InterruptedException {
    if (how == Behaviour.SILENT) {
      pause(SILENCE_MILLIS);
    }
    if (how == Behaviour.ANSWER_LOST || how == Behaviour.SILENT) {
      return;
    }
    if (how == Behaviour.SLOW) {
      pause(SLOW_START_MILLIS);
    }
    if (how == Behaviour.CROSSED) {
      call.setHeader("X-Wisteriarail-Request-Id", "another-" + request);
    }
    if (how != Behaviour.UNSIGNED) {
      call.setHeader("X-Wisteriarail-Response-Signature", id + "." + request);
    }
    if (how == Behaviour.FAILING) {
      call.reply(500, "failed");
    } else if (engine) {
      stream(call, request, how);
    } else {
      String text = plainAnswer(request);
      int half = text.length() / 2;
      call.setHeader("Content-Length", Integer.toString(text.length()));
      call.writePart(text.substring(0, half), false);
      if (how != Behaviour.CUT) {
        call.writePart(text.substring(half), true);
      }
    }
  }

  /** Waits, unless the runner ends meanwhile. */
  private void pause(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!closed && System.nanoTime() < until) {
      Thread.sleep(Math.min(millis, POLL_MILLIS));
    }
  }

  private void stream(Call call, String request, Behaviour how)
      throws IOException, InterruptedException {
    call.setHeader("Content-Type", "text/event-stream");
    int from = Integer.parseInt(call.header("Last-Event-Id").orElse("0")) + 1;
    for (int event = from; event <= EVENTS; event++) {
      String text = event(request, event);
      if (how == Behaviour.CUT && event == EVENTS / 2) {
        call.writePart(text.substring(0, text.length() / 2), false);
        return;
      }
      call.writePart(text, event == EVENTS);
      Thread.sleep(how == Behaviour.SLOW ? SLOW_EVENT_MILLIS : EVENT_PAUSE_MILLIS);
    }
  }

  private static String event(String request, int number) {
    return "id: " + number + "\ndata: " + request + " " + number + "\n\n";
  }

  /** Returns the body of a plain runner's answer to a request. */
  public static String plainAnswer(String request) {
    return "done " + request;
  }

  /** Returns the body of an engine's whole stream for a request. */
  public static String wholeStream(String request) {
    return IntStream.rangeClosed(1, EVENTS)
        .mapToObj(number -> event(request, number))
        .collect(Collectors.joining());
  }

  // Control and observation

  /** Changes what it does with requests. */
  public synchronized void behave(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Makes it say that it leaves. */
  public synchronized void drain() {
    draining = true;
  }

  /** Makes it say in its answers that it leaves; its entry goes on to say that it is ready. */
  public void sayLeaving() {
    saysLeaving = true;
  }

  /** Returns how many requests reached it, those that it turned away included. */
  public synchronized int arrived() {
    return arrived;
  }

  /** Makes its entry name another address, through which it is reached. */
  public synchronized void announce(String address) {
    announced = address;
  }

  /** Returns the orders that no platform may give, as text. */
  public synchronized List<String> wrongOrders() {
    return List.copyOf(wrongOrders);
  }

  /** Returns the address at which it listens, as host and port. */
  public String address() {
    return server.authority();
  }

  /** Returns the identifiers of the requests that it ran, in order. */
  public synchronized List<String> ran() {
    return List.copyOf(ran);
  }

  /** Returns the models that it holds. */
  public synchronized Set<String> models() {
    return Set.copyOf(models.keySet());
  }

  /** Returns its identifier. */
  public String id() {
    return id;
  }

  /** Returns what it writes into the directory, as JSON. */
  public synchronized String entry(long beat) {
    Map<String, Object> entry = new LinkedHashMap<>(description());
    entry.put("service", service);
    entry.put("address", announced.isEmpty() ? address() : announced);
    entry.put("zone", "a");
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("cold_remaining_ms", 0);
    entry.put("sequence", beat);
    try {
      return Codecs.json().writeValueAsString(entry);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  @Override
  public void close() {
    closed = true;
    server.close();
  }
}
