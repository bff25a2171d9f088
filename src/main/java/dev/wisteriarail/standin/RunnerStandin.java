package dev.wisteriarail.standin;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A stand-in for one of the users' runners: an engine that processes orders and streams events, or
 * a plain service.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class RunnerStandin implements AutoCloseable {

  private static final String NOT_EXECUTED_HEADER = "X-Wisteriarail-Not-Executed";
  private static final int EVENTS_PER_STREAM = 6;
  private static final long EVENT_INTERVAL_MILLIS = 3;

  /** Delay of a slow runner before its answer. */
  private static final long SLOW_START_DELAY_MILLIS = 1_500;

  /** Time between two events of a slow runner. */
  private static final long SLOW_EVENT_INTERVAL_MILLIS = 600;

  /** Time for which a runner is silent that goes on with its answer. */
  private static final long SILENCE_MILLIS = 1_150;

  /** Time for which a silent runner keeps a connection open. */
  private static final long SILENT_CONNECTION_MILLIS = 30_000;

  private static final long POLL_MILLIS = 100;

  /** Retry-After value of a pausing runner, in seconds. */
  private static final String RETRY_AFTER_SECONDS = "1.5";

  /** Number of the stand-in's models that fit into the memory of one engine. */
  static final int MODEL_CAPACITY = 2;

  /** Part of a prompt on which an engine crashes as it begins to write the response. */
  public static final String CRASHING_PART = "crashing";

  /** Maximum number of adapters on an engine. */
  static final int ADAPTER_SLOTS = 4;

  private final String id;
  private final String service;
  private final boolean engine;
  private final long bornMillis;
  private final List<String> executedRequests = new ArrayList<>();
  private final Map<String, Long> workEndTimes = new HashMap<>();
  private final List<Long> crashingArrivals = new ArrayList<>();
  private final List<String> invalidOrders = new ArrayList<>();
  private final List<OrderArrival> orderArrivals = new ArrayList<>();
  private final RunnerMemory memory;
  private StandinServer server;
  private Behaviour behaviour = Behaviour.SOUND;
  private boolean checksFences = true;
  private boolean draining;
  private volatile boolean announcesLeaving;
  private volatile boolean crashing;
  private long fence;
  private String fenceHolder = "";
  private String announcedAddress = "";
  private volatile boolean closed;
  private int runningCount;
  private int arrivedRequests;

  private RunnerStandin(
      String id, String service, boolean engine, List<String> loadedModels, long born) {
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.bornMillis = born;
    memory = new RunnerMemory(loadedModels, invalidOrders);
  }

  /**
   * An order that reached a runner.
   *
   * @param runner the runner's identifier
   * @param nanos when it arrived, in the terms of {@link System#nanoTime}
   * @param holder the node that gave it
   * @param fence its fencing number
   */
  public record OrderArrival(String runner, long nanos, String holder, long fence) {}

  /** How a runner treats requests. */
  public enum Behaviour {
    /** Serves requests correctly. */
    SOUND,
    /** Refuses requests because it is full. */
    FULL,
    /** Runs requests and answers with an error. */
    FAILING,
    /** Runs requests and closes the connection without an answer. */
    ANSWER_LOST,
    /** Runs requests and aborts the answer halfway. */
    CUT,
    /** Answers with the identifier of another request. */
    CROSSED,
    /** Answers without the response signature. */
    UNSIGNED,
    /** Accepts requests, never runs them and never answers. */
    SILENT,
    /** Answers correctly after seconds. */
    SLOW,
    /** Answers correctly; is silent for about a second before the answer or between two events. */
    SILENT_FOR_A_SECOND,
    /**
     * Refuses requests because it is full, and asks the node to pause with a Retry-After header.
     */
    PAUSING
  }

  /**
   * Starts a runner.
   *
   * @param id the runner's identifier
   * @param service the service that the runner belongs to
   * @param engine whether the runner is an engine with models
   * @param loadedModels models that are loaded at the start
   * @param born start time, in Unix milliseconds
   * @throws SettingsException if no port can be bound
   */
  public static RunnerStandin start(
      String id, String service, boolean engine, List<String> loadedModels, long born)
      throws SettingsException {
    RunnerStandin runner = new RunnerStandin(id, service, engine, loadedModels, born);
    runner.server = StandinServer.start(new Endpoint("127.0.0.1", 0), 1, runner::handle);
    return runner;
  }

  /** Starts a new incarnation of an ended runner: the same identifier with no models loaded. */
  synchronized RunnerStandin startNextIncarnation() throws SettingsException {
    RunnerStandin next = start(id, service, engine, List.of(), bornMillis + 1);
    next.setChecksFences(checksFences);
    return next;
  }

  // Calls

  private void handle(Call call) throws IOException, InterruptedException {
    String expected = call.header("X-Wisteriarail-Expected-Instance").orElse(id);
    if (!expected.equals(id)) {
      call.setHeader("X-Wisteriarail-Instance-Id", id);
      call.reply(421, "another runner");
      return;
    }
    if (announcesLeaving) {
      call.setHeader("Server-Leaving", "1");
    }
    switch (call.path()) {
      case "/wisteriarail/report" -> call.replyJson(report());
      case "/wisteriarail/order" -> handleOrder(call);
      default -> serve(call);
    }
  }

  private synchronized Map<String, Object> report() {
    Map<String, Object> report = new LinkedHashMap<>(description());
    report.put("busy", memory.isBusy());
    report.put("incoming", memory.incoming().stream().map(name -> name + "@1").toList());
    report.put("sequence", memory.orderCount());
    report.put("waiting", 0);
    report.put("running_count", runningCount);
    report.put("kv_cache_used", 0);
    return report;
  }

  private Map<String, Object> description() {
    Map<String, Object> description = memory.description();
    description.put("born", bornMillis);
    return description;
  }

  private synchronized void handleOrder(Call call) throws IOException {
    Map<?, ?> order = Codecs.json().readValue(call.body(), Map.class);
    long token = ((Number) order.get("fencing_token")).longValue();
    final Object expect = order.get("expect");
    String holder = (String) order.get("holder");
    orderArrivals.add(new OrderArrival(id, System.nanoTime(), holder, token));
    if (checksFences && token < fence) {
      call.reply(412, "an older fencing number");
      return;
    }
    if (token == fence && !holder.equals(fenceHolder)) {
      invalidOrders.add("two holders with fencing number " + token);
    }
    fence = token;
    fenceHolder = holder;
    if (memory.isBusy()
        || (expect != null && ((Number) expect).longValue() != memory.orderCount())) {
      call.reply(409, "another order");
      return;
    }
    String model = (String) order.get("model");
    String adapter = (String) order.get("adapter");
    boolean isLoad = "model_load".equals(order.get("operation"));
    call.reply(memory.acceptOrder(model, adapter, isLoad), "");
  }

  private void serve(Call call) throws IOException, InterruptedException {
    String request = call.header("X-Wisteriarail-Request-Id").orElse("");
    if (request.isEmpty()) {
      call.setHeader(NOT_EXECUTED_HEADER, "1");
      call.reply(400, "no identifier");
      return;
    }
    Behaviour requestBehaviour = beginRequest(call, request);
    if (call.isAnswered()) {
      return;
    }
    if (hasCrashingPart(call)) {
      recordCrashingArrival();
      return;
    }
    try {
      answer(call, request, requestBehaviour);
    } finally {
      finishRequest(request, requestedModel(call));
    }
  }

  private boolean hasCrashingPart(Call call) {
    String parts = call.header("X-Wisteriarail-Prompt-Prefix").orElse("");
    return engine && parts.contains(CRASHING_PART + ":");
  }

  private synchronized void recordCrashingArrival() {
    crashingArrivals.add(System.nanoTime());
    crashing = true;
  }

  private synchronized Behaviour beginRequest(Call call, String request) throws IOException {
    call.setHeader("X-Wisteriarail-Request-Id", request);
    arrivedRequests++;
    if (behaviour == Behaviour.FULL || behaviour == Behaviour.PAUSING) {
      call.setHeader(NOT_EXECUTED_HEADER, "1");
      if (behaviour == Behaviour.PAUSING) {
        call.setHeader("Retry-After", RETRY_AFTER_SECONDS);
      }
      call.reply(503, "full");
    } else if (engine && !memory.isLoaded(requestedModel(call))) {
      call.setHeader(NOT_EXECUTED_HEADER, "1");
      call.reply(421, "not loaded");
    } else {
      if (behaviour != Behaviour.SILENT) {
        executedRequests.add(request);
      }
      runningCount++;
      memory.beginRequest(requestedModel(call));
    }
    return behaviour;
  }

  private static String requestedModel(Call call) {
    return call.header("X-Wisteriarail-Model").orElse("");
  }

  private synchronized void finishRequest(String request, String modelHeader) {
    workEndTimes.put(request, System.nanoTime());
    runningCount--;
    memory.finishRequest(modelHeader);
  }

  private void answer(Call call, String request, Behaviour requestBehaviour)
      throws IOException, InterruptedException {
    if (requestBehaviour == Behaviour.SILENT) {
      sleepUnlessClosed(SILENT_CONNECTION_MILLIS);
    }
    if (requestBehaviour == Behaviour.ANSWER_LOST || requestBehaviour == Behaviour.SILENT) {
      return;
    }
    if (requestBehaviour == Behaviour.SLOW) {
      sleepUnlessClosed(SLOW_START_DELAY_MILLIS);
    }
    int silentBefore =
        requestBehaviour == Behaviour.SILENT_FOR_A_SECOND
            ? 1 + Math.floorMod(request.hashCode(), EVENTS_PER_STREAM)
            : 0;
    if (silentBefore > 0 && !engine) {
      sleepUnlessClosed(SILENCE_MILLIS);
    }
    if (requestBehaviour == Behaviour.CROSSED) {
      call.setHeader("X-Wisteriarail-Request-Id", "another-" + request);
    }
    if (requestBehaviour != Behaviour.UNSIGNED) {
      call.setHeader("X-Wisteriarail-Response-Signature", id + "." + request);
    }
    if (requestBehaviour == Behaviour.FAILING) {
      call.reply(500, "failed");
    } else if (engine) {
      stream(call, request, requestBehaviour, silentBefore);
    } else {
      String text = plainAnswer(request);
      int half = text.length() / 2;
      call.setHeader("Content-Length", Integer.toString(text.length()));
      call.writePart(text.substring(0, half), false);
      if (requestBehaviour != Behaviour.CUT) {
        call.writePart(text.substring(half), true);
      }
    }
  }

  /** Sleeps for the given time; returns early if the runner is closed. */
  private void sleepUnlessClosed(long millis) throws InterruptedException {
    long until = System.nanoTime() + millis * 1_000_000;
    while (!closed && System.nanoTime() < until) {
      Thread.sleep(Math.min(millis, POLL_MILLIS));
    }
  }

  /**
   * Streams the events of an answer.
   *
   * @param silentBefore number of the event before which the runner is silent for a while; 0 for
   *     none
   */
  private void stream(Call call, String request, Behaviour requestBehaviour, int silentBefore)
      throws IOException, InterruptedException {
    call.setHeader("Content-Type", "text/event-stream");
    int from = Integer.parseInt(call.header("Last-Event-Id").orElse("0")) + 1;
    for (int event = from; event <= EVENTS_PER_STREAM; event++) {
      if (event == silentBefore) {
        sleepUnlessClosed(SILENCE_MILLIS);
      }
      String text = event(request, event);
      if (requestBehaviour == Behaviour.CUT && event == EVENTS_PER_STREAM / 2) {
        call.writePart(text.substring(0, text.length() / 2), false);
        return;
      }
      call.writePart(text, event == EVENTS_PER_STREAM);
      Thread.sleep(
          requestBehaviour == Behaviour.SLOW ? SLOW_EVENT_INTERVAL_MILLIS : EVENT_INTERVAL_MILLIS);
    }
  }

  private static String event(String request, int number) {
    return "id: " + number + "\ndata: " + request + " " + number + "\n\n";
  }

  /** Returns the body of a plain runner's answer to a request. */
  public static String plainAnswer(String request) {
    return "done " + request;
  }

  /** Returns the body of an engine's complete stream for a request. */
  public static String completeStream(String request) {
    return IntStream.rangeClosed(1, EVENTS_PER_STREAM)
        .mapToObj(number -> event(request, number))
        .collect(Collectors.joining());
  }

  // Control and observation

  /** Changes how the runner treats requests. */
  public synchronized void setBehaviour(Behaviour newBehaviour) {
    behaviour = newBehaviour;
  }

  /** Changes whether the runner refuses orders with an old fencing number. */
  public synchronized void setChecksFences(boolean checks) {
    checksFences = checks;
  }

  /** Makes the directory entry show the runner as draining. */
  public synchronized void drain() {
    draining = true;
  }

  /**
   * Makes the runner announce in its responses that it is leaving; its directory entry still shows
   * it as ready.
   */
  public void announceLeaving() {
    announcesLeaving = true;
  }

  /** Returns whether a request made the runner crash, so that its process is to be ended. */
  public boolean isCrashing() {
    return crashing;
  }

  /** Returns when requests that crash the runner began to run, in nanoseconds. */
  public synchronized List<Long> crashingArrivals() {
    return List.copyOf(crashingArrivals);
  }

  /** Returns the number of requests that reached the runner, including refused ones. */
  public synchronized int arrivedRequests() {
    return arrivedRequests;
  }

  /** Makes the directory entry show another address, such as that of a proxy. */
  public synchronized void announceAddress(String address) {
    announcedAddress = address;
  }

  /** Returns descriptions of the received orders that break the ordering protocol. */
  public synchronized List<String> invalidOrders() {
    return List.copyOf(invalidOrders);
  }

  /** Returns the orders that reached the runner, including refused ones, as they arrived. */
  public synchronized List<OrderArrival> orderArrivals() {
    return List.copyOf(orderArrivals);
  }

  /** Returns the address on which the runner listens, as host and port. */
  public String address() {
    return server.authority();
  }

  /** Returns when the runner last stopped working on each request, in nanoseconds. */
  public synchronized Map<String, Long> workEndTimes() {
    return Map.copyOf(workEndTimes);
  }

  /** Returns the identifiers of the executed requests, in order. */
  public synchronized List<String> executedRequests() {
    return List.copyOf(executedRequests);
  }

  /** Returns the models that are loaded or loading. */
  public synchronized Set<String> models() {
    return memory.models();
  }

  /** Returns the runner's identifier. */
  public String id() {
    return id;
  }

  /** Returns the runner's directory entry as JSON. */
  public synchronized String directoryEntry(long sequence) {
    Map<String, Object> entry = new LinkedHashMap<>(description());
    entry.put("service", service);
    entry.put("address", announcedAddress.isEmpty() ? address() : announcedAddress);
    entry.put("zone", "a");
    entry.put("version", "v1");
    entry.put("slots", 8);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("cold_remaining_ms", 0);
    entry.put("sequence", sequence);
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
