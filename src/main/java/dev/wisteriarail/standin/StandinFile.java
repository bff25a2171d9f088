package dev.wisteriarail.standin;

import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.settings.TomlDocument;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;

/**
 * The stand-ins that a settings file defines. docs/SETTINGS.md describes each key.
 *
 * @param seed seed of the random choice of lost answers
 * @param log endpoint of the log
 * @param retention maximum number of records that the log keeps
 * @param vmList endpoint of the VM list
 * @param weightStore endpoint of the weight store
 * @param fetchesPerSecond maximum number of fetches that the weight store starts per second
 * @param fullSpeedFetches maximum number of concurrent fetches at full speed
 * @param engines the engines
 * @param services the application runners
 * @param nodes the initial nodes of the VM list
 */
public record StandinFile(
    long seed,
    Endpoint log,
    int retention,
    Endpoint vmList,
    Endpoint weightStore,
    double fetchesPerSecond,
    int fullSpeedFetches,
    List<EngineEntry> engines,
    List<ServiceEntry> services,
    List<VmEntry> nodes) {

  private static final int MAX_PORT = 65_535;
  private static final int DEFAULT_RETENTION = 100_000;
  private static final long GIBIBYTE = 1024L * 1024 * 1024;

  /**
   * One engine.
   *
   * @param endpoint the endpoint on which it listens
   * @param setup start parameters, without the weight store
   */
  public record EngineEntry(Endpoint endpoint, EngineSetup setup) {}

  /**
   * One application runner.
   *
   * @param endpoint the endpoint on which it listens
   * @param runner the runner
   * @param deduplicates whether requests with the same key run only once
   */
  public record ServiceEntry(Endpoint endpoint, RunnerId runner, boolean deduplicates) {}

  /**
   * Reads and checks a settings file.
   *
   * @throws SettingsException with every problem in the file
   */
  public static StandinFile read(Path path) throws SettingsException {
    TomlDocument toml = TomlDocument.read(path);
    StandinFile file =
        new StandinFile(
            toml.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1),
            endpoint(toml, "log"),
            (int) toml.integer("log.retention", 1, Integer.MAX_VALUE, DEFAULT_RETENTION),
            endpoint(toml, "vm_list"),
            endpoint(toml, "weight_store"),
            toml.number("weight_store.fetches_per_second", 0.1, 10_000, 7.0),
            (int) toml.integer("weight_store.full_speed_fetches", 1, 10_000, 4),
            engines(toml),
            services(toml),
            nodes(toml));
    toml.check();
    return file;
  }

  /**
   * Starts every stand-in.
   *
   * @return one line per stand-in with its address
   * @throws SettingsException if a port cannot be bound
   */
  public List<String> start() throws SettingsException {
    List<String> lines = new ArrayList<>();
    lines.add("log " + LogStandin.start(log, seed, retention).server().address());
    VmListStandin list = VmListStandin.start(vmList, seed);
    nodes.forEach(list::put);
    lines.add("vm_list " + list.server().address());
    WeightStoreStandin store =
        WeightStoreStandin.start(weightStore, seed, fetchesPerSecond, fullSpeedFetches);
    lines.add("weight_store " + store.server().address());
    HttpClient http = HttpClients.start();
    for (EngineEntry engine : engines) {
      EngineSetup setup = engine.setup().withWeightStore(store.server().address());
      EngineStandin started = EngineStandin.start(engine.endpoint(), seed, setup, http);
      lines.add("engine " + setup.runner() + " " + started.server().address());
    }
    for (ServiceEntry service : services) {
      ServiceStandin started =
          ServiceStandin.start(service.endpoint(), seed, service.runner(), service.deduplicates());
      lines.add("services " + service.runner() + " " + started.server().address());
    }
    return lines;
  }

  private static Endpoint endpoint(TomlDocument toml, String path) {
    return new Endpoint(
        toml.text(path + ".host", "127.0.0.1"), (int) toml.integer(path + ".port", 0, MAX_PORT, 0));
  }

  private static List<EngineEntry> engines(TomlDocument toml) {
    List<EngineEntry> engines = new ArrayList<>();
    for (int i = 0; i < toml.size("engine"); i++) {
      String path = "engine." + i;
      EngineSetup setup =
          new EngineSetup(
              RunnerId.of(toml.text(path + ".runner")),
              toml.integer(path + ".memory_bytes", 1, Long.MAX_VALUE, 80 * GIBIBYTE),
              (int) toml.integer(path + ".slots", 1, 4_096, 16),
              toml.flag(path + ".checks_fencing", true),
              toml.integer(path + ".load_ms", 0, 3_600_000, 1_000),
              toml.integer(path + ".token_ms", 0, 60_000, 20),
              Optional.of(toml.text(path + ".crash_on", "")).filter(text -> !text.isEmpty()),
              Optional.empty());
      engines.add(new EngineEntry(endpoint(toml, path), setup));
    }
    return engines;
  }

  private static List<VmEntry> nodes(TomlDocument toml) {
    List<VmEntry> nodes = new ArrayList<>();
    for (int i = 0; i < toml.size("node"); i++) {
      String path = "node." + i;
      Endpoint peer = endpoint(toml, path);
      nodes.add(
          new VmEntry(
              NodeId.of(toml.text(path + ".id")),
              peer.host(),
              peer.port(),
              FailureDomain.of(toml.text(path + ".failure_domain")),
              toml.flag(path + ".leaving", false)));
    }
    return nodes;
  }

  private static List<ServiceEntry> services(TomlDocument toml) {
    List<ServiceEntry> services = new ArrayList<>();
    for (int i = 0; i < toml.size("services"); i++) {
      String path = "services." + i;
      services.add(
          new ServiceEntry(
              endpoint(toml, path),
              RunnerId.of(toml.text(path + ".runner")),
              toml.flag(path + ".deduplicates", false)));
    }
    return services;
  }
}
