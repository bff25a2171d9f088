package dev.wisteriarail.demo;

import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.logservice.HttpClients;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.standin.EngineSetup;
import dev.wisteriarail.standin.EngineStandin;
import dev.wisteriarail.standin.LogStandin;
import dev.wisteriarail.standin.ServiceStandin;
import dev.wisteriarail.standin.VmListStandin;
import dev.wisteriarail.standin.WeightStoreStandin;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.client.HttpClient;

/**
 * The stand-ins of a small deployment, each on a free port of the loopback address.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
public final class StandinFleet implements AutoCloseable {

  private static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);
  private static final long MEMORY_BYTES = 80L * 1024 * 1024 * 1024;
  private static final int RETAINED_RECORDS = 100_000;

  private final StandinFleetSetup setup;
  private final HttpClient http;
  private final LogStandin log;
  private final VmListStandin vmList;
  private final WeightStoreStandin weightStore;
  private final List<EngineStandin> engines;
  private final ServiceStandin services;

  private StandinFleet(
      StandinFleetSetup setup,
      HttpClient http,
      LogStandin log,
      VmListStandin vmList,
      WeightStoreStandin weightStore,
      List<EngineStandin> engines,
      ServiceStandin services) {
    this.setup = setup;
    this.http = http;
    this.log = log;
    this.vmList = vmList;
    this.weightStore = weightStore;
    this.engines = engines;
    this.services = services;
  }

  /**
   * Starts the stand-ins.
   *
   * @throws SettingsException if a port cannot be bound
   */
  public static StandinFleet start(StandinFleetSetup fleetSetup) throws SettingsException {
    long seed = fleetSetup.seed();
    HttpClient http = HttpClients.start();
    WeightStoreStandin weightStore = WeightStoreStandin.start(ANY_PORT, seed, 7.0, 4);
    List<EngineStandin> engines = new ArrayList<>();
    for (int i = 1; i <= fleetSetup.engines(); i++) {
      EngineSetup setup =
          new EngineSetup(
              RunnerId.of("r" + i),
              MEMORY_BYTES,
              fleetSetup.slots(),
              i % 2 == 1,
              fleetSetup.loadMillis(),
              fleetSetup.tokenMillis(),
              Optional.empty(),
              Optional.of(weightStore.server().address()));
      engines.add(EngineStandin.start(ANY_PORT, seed + i, setup, http));
    }
    return new StandinFleet(
        fleetSetup,
        http,
        LogStandin.start(ANY_PORT, seed, RETAINED_RECORDS),
        VmListStandin.start(ANY_PORT, seed),
        weightStore,
        engines,
        ServiceStandin.start(ANY_PORT, seed, RunnerId.of("app1"), false));
  }

  // Accessors

  /** Returns the stand-in for the log. */
  public LogStandin log() {
    return log;
  }

  /** Returns the stand-in for the VM list. */
  public VmListStandin vmList() {
    return vmList;
  }

  /** Returns the stand-ins for the engines. */
  public List<EngineStandin> engines() {
    return engines;
  }

  /** Returns the stand-in for the services of the application runner. */
  public ServiceStandin services() {
    return services;
  }

  /** Returns the configuration entries of the fleet's runners. */
  public List<RunnerSpec> runnerSpecs() {
    List<RunnerSpec> specs = new ArrayList<>();
    for (int i = 0; i < engines.size(); i++) {
      specs.add(
          new RunnerSpec(
              engines.get(i).report().runner(),
              engines.get(i).server().address(),
              FailureDomain.of("fd" + (i % 2 + 1)),
              RunnerRole.MODEL,
              MEMORY_BYTES,
              8,
              setup.slots(),
              i % 2 == 0));
    }
    specs.add(
        new RunnerSpec(
            RunnerId.of("app1"),
            services.server().address(),
            FailureDomain.of("fd1"),
            RunnerRole.APPLICATION,
            0,
            0,
            setup.slots(),
            false));
    return specs;
  }

  @Override
  public void close() {
    log.close();
    vmList.close();
    weightStore.close();
    services.close();
    engines.forEach(EngineStandin::close);
    HttpClients.stop(http);
  }
}
