package dev.wisteriarail.standin;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The users' platform on loopback: a store, engines and plain runners that write directory entries,
 * and the operator's configuration.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class PlatformStandin implements AutoCloseable {

  /** Name of the service that the engines provide. */
  public static final String ENGINES = "engines";

  /** Name of the service that the plain runners provide. */
  public static final String PLAIN = "plain";

  /** The host in callers' requests. */
  public static final String HOST = "127.0.0.1";

  private static final String RUNNERS_TOPIC = "keyed.servers";
  private static final String OPERATOR_TOPIC = "keyed.op";
  private static final long ENTRY_INTERVAL_MILLIS = 200;
  private static final int MODELS = 8;

  /** Number of the first model that takes seconds to load; so do all models after it. */
  public static final int FIRST_LARGE_MODEL = 6;

  private static final double MODEL_MB = 60;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final Duration SURVEY_TIMEOUT = Duration.ofSeconds(25);
  private static final Duration TARGET_LATENCY = Duration.ofMillis(500);
  private static final Duration SURVEY_TARGET_LATENCY = Duration.ofSeconds(5);

  private final MetadataStoreStandin store;
  private final List<RunnerStandin> runners = new ArrayList<>();
  private final List<RunnerStandin> endedRunners = new ArrayList<>();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private long entrySequence;
  private long version;
  private String publishedConfiguration = "";
  private Optional<List<Map<String, Object>>> tenants = Optional.empty();
  private Set<String> publicRoutes = Set.of();

  private PlatformStandin(MetadataStoreStandin store) {
    this.store = store;
  }

  /**
   * Starts a platform with a first configuration.
   *
   * @param engines number of engines; the first one has loaded model m0
   * @param plain number of plain runners
   * @throws SettingsException if no port can be bound
   */
  public static PlatformStandin start(int engines, int plain) throws SettingsException {
    PlatformStandin platform =
        new PlatformStandin(MetadataStoreStandin.start(new Endpoint("127.0.0.1", 0)));
    for (int i = 0; i < engines; i++) {
      List<String> loadedModels = i == 0 ? List.of("m0") : List.of();
      platform.add(RunnerStandin.start("engine-" + i, ENGINES, true, loadedModels, 1));
    }
    for (int i = 0; i < plain; i++) {
      platform.add(RunnerStandin.start("plain-" + i, PLAIN, false, List.of(), 1));
    }
    platform.publish(List.of());
    ScheduledFuture<?> _ =
        platform.timer.scheduleAtFixedRate(
            platform::writeEntries, 0, ENTRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    return platform;
  }

  private synchronized void add(RunnerStandin runner) {
    runners.add(runner);
  }

  /** Writes the directory entries of all runners at once. */
  public synchronized void writeEntries() {
    entrySequence++;
    for (RunnerStandin runner : runners) {
      store.put(RUNNERS_TOPIC, runner.id(), runner.directoryEntry(entrySequence));
    }
  }

  /** Writes an odd entry under a runner's identifier, as another writer may do. */
  public synchronized void writeOddEntry(String id, int number) {
    store.put(RUNNERS_TOPIC, id, OddEntries.entry(number));
  }

  /** Removes an entry from the directory. */
  public synchronized void removeEntry(String id) {
    store.put(RUNNERS_TOPIC, id, "");
  }

  /** Adds a plain runner; its entry follows with the next entries of all runners. */
  public RunnerStandin addPlainRunner(String id) throws SettingsException {
    RunnerStandin runner = RunnerStandin.start(id, PLAIN, false, List.of(), 1);
    add(runner);
    return runner;
  }

  /** Compacts the topics of the store to the newest directory entries and configuration. */
  public void compactTopics() {
    store.compact(RUNNERS_TOPIC);
    store.compact(OPERATOR_TOPIC);
  }

  /** Ends a runner without notice, as a crash does. */
  public synchronized void crash(String id) {
    RunnerStandin runner = runner(id);
    runners.remove(runner);
    endedRunners.add(runner);
    runner.close();
  }

  /**
   * Restarts a crashed runner under its identifier with no models loaded.
   *
   * @param id the identifier
   * @throws SettingsException if no port can be bound
   */
  public synchronized RunnerStandin restart(String id) throws SettingsException {
    RunnerStandin previous =
        endedRunners.stream().filter(runner -> runner.id().equals(id)).toList().getLast();
    RunnerStandin runner = previous.startNextIncarnation();
    add(runner);
    return runner;
  }

  /**
   * Sets the tenants and the public routes of the configurations that are published from now on.
   *
   * @param newTenants the tenants, as in the configuration, which then names them, even none
   * @param newPublicRoutes names of the routes that need no API key
   */
  public synchronized void setTenants(
      List<Map<String, Object>> newTenants, Set<String> newPublicRoutes) {
    tenants = Optional.of(newTenants);
    publicRoutes = newPublicRoutes;
  }

  /**
   * Publishes a configuration with the standard routes and one plain route for each given name.
   *
   * @param extraRoutes names of routes that are added, each with its prefix
   */
  public void publish(List<String> extraRoutes) {
    publish(extraRoutes, Map.of());
  }

  /**
   * Publishes a configuration with other limits on callers.
   *
   * @param extraRoutes names of routes that are added, each with its prefix
   * @param limitOverrides limits by name that replace or extend the standard ones
   */
  public synchronized void publish(List<String> extraRoutes, Map<String, Integer> limitOverrides) {
    List<Map<String, Object>> routes = new ArrayList<>();
    routes.add(route("chat", "/chat/", "streaming", ENGINES, 2, true));
    routes.add(route("report", "/report/", "streaming", ENGINES, 1, false));
    Map<String, Object> survey = route("survey", "/survey/", "streaming", ENGINES, 1, false);
    survey.put("timeout_ms", SURVEY_TIMEOUT.toMillis());
    survey.put("target_latency_ms", SURVEY_TARGET_LATENCY.toMillis());
    routes.add(survey);
    routes.add(route("lookup", "/lookup/", "idempotent", PLAIN, 2, false));
    routes.add(route("order", "/order/", "non_idempotent", PLAIN, 1, false));
    extraRoutes.forEach(
        name -> routes.add(route(name, "/" + name + "/", "idempotent", PLAIN, 2, false)));
    routes.forEach(route -> route.put("public", publicRoutes.contains(route.get("name"))));
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", ++version);
    tenants.ifPresent(all -> configuration.put("tenants", all));
    configuration.put("routes", routes);
    configuration.put("services", List.of(engineService(), plainService()));
    Map<String, Integer> limits = new LinkedHashMap<>();
    limits.put("max_body_bytes", 100_000);
    limits.put("idle_timeout_ms", 15_000);
    limits.putAll(limitOverrides);
    configuration.put("limits", limits);
    try {
      publishedConfiguration = Codecs.json().writeValueAsString(configuration);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    republish();
  }

  /** Writes the newest configuration again, in case the store has lost it. */
  public synchronized void republish() {
    store.put(OPERATOR_TOPIC, "config", publishedConfiguration);
  }

  private static Map<String, Object> route(
      String name, String prefix, String kind, String service, int attempts, boolean resumable) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", prefix);
    route.put("kind", kind);
    route.put("timeout_ms", TIMEOUT.toMillis());
    route.put("target_latency_ms", TARGET_LATENCY.toMillis());
    route.put("priority", 1);
    route.put("service", service);
    route.put("max_attempts", attempts);
    route.put("sticky", service.equals(ENGINES));
    route.put("resumable", resumable);
    route.put("gap_target_ms", 250);
    return route;
  }

  private static Map<String, Object> engineService() {
    List<Map<String, Object>> models = new ArrayList<>();
    for (int i = 0; i < MODELS; i++) {
      models.add(
          Map.of(
              "name",
              "m" + i,
              "weights_mb",
              MODEL_MB,
              "load_s",
              i < FIRST_LARGE_MODEL ? 0.2 : 4.0,
              "warm_s",
              0.1,
              "disk_load_s",
              i < FIRST_LARGE_MODEL ? 0.1 : 4.0,
              "adapters",
              2,
              "adapter_mb",
              1.0));
    }
    Map<String, Object> engine = new LinkedHashMap<>();
    engine.put("slots", 8);
    engine.put("kv_cache_tokens", 100_000);
    engine.put("weights_mb", RunnerStandin.MODEL_CAPACITY * MODEL_MB + 10);
    engine.put("adapter_slots", RunnerStandin.ADAPTER_SLOTS);
    engine.put("loads_per_s", 10.0);
    engine.put("models", models);
    return Map.of("name", ENGINES, "max_connections", 100, "engine", engine);
  }

  private static Map<String, Object> plainService() {
    return Map.of("name", PLAIN, "max_connections", 100);
  }

  // Accessors

  /** Returns the store. */
  public MetadataStoreStandin store() {
    return store;
  }

  /** Returns a running runner. */
  public synchronized RunnerStandin runner(String id) {
    return runners.stream().filter(runner -> runner.id().equals(id)).findFirst().orElseThrow();
  }

  /** Returns the ended runners followed by the running ones. */
  public synchronized List<RunnerStandin> allRunners() {
    List<RunnerStandin> all = new ArrayList<>(endedRunners);
    all.addAll(runners);
    return all;
  }

  /** Returns the running runners. */
  public synchronized List<RunnerStandin> runners() {
    return List.copyOf(runners);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    runners().forEach(RunnerStandin::close);
    store.close();
  }
}
