package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.HostedModel;
import dev.wisteriarail.core.route.ServicePool;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Plans the orders to engines on the coordinating node: aggregates the demand of all nodes, tracks
 * the state of every engine and decides which order is sent next.
 *
 * <p>Every node has an instance, which is idle unless the node holds the lease, so that a new
 * holder starts from the same directory as its predecessor.
 *
 * <p>Life cycle: one per node process; {@link #reset} when the node gains or loses the lease. Not
 * thread-safe.
 */
public final class Coordinator {

  /** Reports of a node are discarded after this time without a new one. */
  private static final Duration NODE_TIMEOUT = Duration.ofMillis(1500);

  /** Interval between two report requests to an engine while an order is in progress. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  /** Interval between two report requests to an engine without an order in progress. */
  private static final Duration IDLE_REPORT_INTERVAL = Duration.ofMillis(1500);

  /**
   * Expected time to load an adapter. It sets only the expected completion of the order: an adapter
   * counts as loaded as soon as the engine accepts the order.
   */
  private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(12);

  /** Time after which unloading a model without running requests is assumed to be complete. */
  private static final Duration IDLE_UNLOAD_TIME = Duration.ofMillis(60);

  /**
   * Time after its load or last use during which an adapter is not evicted: the requests that
   * waited for it reach the engine within this time.
   */
  private static final Duration ADAPTER_RETENTION = Duration.ofMillis(400);

  /** Relative change of an engine's running requests from which its view is published again. */
  private static final double LOAD_CHANGE_THRESHOLD = 0.15;

  private final Map<String, EngineState> engines = new TreeMap<>();
  private final Map<String, String> serviceOf = new HashMap<>();
  private final Map<String, ModelPlanner> planners = new HashMap<>();
  private final Map<String, Instant> reportRequestedAt = new HashMap<>();
  private final Map<Long, Long> concurrentStoreLoads = new HashMap<>();
  private final DemandAggregator demand = new DemandAggregator();
  private final UsageAggregator usage = new UsageAggregator();
  private final StoreLoadLimiter storeLoadLimiter = new StoreLoadLimiter();
  private final InheritedLoads inheritedLoads = new InheritedLoads();
  private final Map<String, Integer> publishedRunning = new HashMap<>();
  private final Map<String, Set<String>> modelsOfLeavingRunners = new HashMap<>();
  private List<ModelForecast> forecasts = List.of();
  private List<Plan.PlannedOrder> withheldOrders = List.of();
  private long nextOrder = 1;
  private long revision;
  private long modelRevision;
  private Predicate<String> hasNoRecentOrders = runner -> false;
  private Predicate<String> orderable = runner -> true;

  private Coordinator() {}

  /** Returns a coordinator without engines. */
  public static Coordinator create() {
    return new Coordinator();
  }

  /** Removes all engines; they are added again from the directory and from their reports. */
  public void reset() {
    engines.clear();
    planners.clear();
    reportRequestedAt.clear();
    forecasts = List.of();
  }

  /**
   * Takes over the state that the previous lease holder handed over.
   *
   * @param history the loads that it started
   * @param noRecentOrders whether a runner has received no order recently
   */
  public void inherit(LoadHistory history, Predicate<String> noRecentOrders, Instant now) {
    inheritedLoads.replaceAll(history.underWay(), now);
    storeLoadLimiter.addEarlier(history.storeLoadAgesMillis(), now);
    hasNoRecentOrders = noRecentOrders;
  }

  /** Raises the revision counter so that new views supersede those of earlier coordinators. */
  public void raiseRevisionTo(long minimum) {
    revision = Math.max(revision, minimum);
  }

  // Input

  /**
   * Handles a node's report of the demand of its callers and of the requests that it has running.
   */
  public void acceptDemand(
      String node,
      long incarnation,
      List<ModelDemand> demands,
      List<RunnerUse> nodeUses,
      Instant now) {
    demand.accept(node, incarnation, demands, now);
    usage.accept(node, nodeUses, now);
  }

  /** Synchronizes the engines with the runner directory. */
  public void sync(GatewayConfiguration configuration, RunnerDirectory directory, Instant now) {
    Set<String> seen = new HashSet<>();
    for (RunnerEntry entry : directory.usable()) {
      if (configuration.engineOf(entry.service()).isEmpty()) {
        continue;
      }
      seen.add(entry.id());
      EngineState known = engines.get(entry.id());
      if (known == null || isLaterRun(entry, known)) {
        EngineState engine =
            hasNoRecentOrders.test(entry.id())
                ? EngineState.withoutRecentOrders(entry, now)
                : EngineState.of(entry, now);
        reviseModels(engine);
        engines.put(entry.id(), engine);
        serviceOf.put(entry.id(), entry.service());
      } else if (known.acceptEntry(entry)) {
        reviseModels(known);
      }
    }
    modelsOfLeavingRunners.clear();
    for (RunnerEntry entry : directory.leaving()) {
      Set<String> models =
          modelsOfLeavingRunners.computeIfAbsent(entry.service(), name -> new HashSet<>());
      entry.models().forEach(model -> models.add(model.name()));
    }
    engines.keySet().retainAll(seen);
    serviceOf.keySet().retainAll(seen);
    reportRequestedAt.keySet().retainAll(seen);
    publishedRunning.keySet().retainAll(seen);
    hasNoRecentOrders = runner -> false;
  }

  private static boolean isLaterRun(RunnerEntry entry, EngineState known) {
    return entry.bornMillis() > known.bornMillis();
  }

  /** Handles an engine's report. */
  public void acceptReport(
      RunnerReport report, Instant requestedAt, GatewayConfiguration configuration, Instant now) {
    EngineState engine = engines.get(report.runner());
    if (engine == null) {
      return;
    }
    Optional<OpenOrder> before = engine.openOrder();
    if (engine.acceptReport(report, requestedAt, now)) {
      reviseModels(engine);
    }
    if (before.isPresent() && engine.openOrder().isEmpty()) {
      recordLoadTime(engine, before.get(), configuration, now);
    }
  }

  private void recordLoadTime(
      EngineState engine, OpenOrder order, GatewayConfiguration configuration, Instant now) {
    Long concurrentLoads = concurrentStoreLoads.remove(order.number());
    boolean done = engine.models().containsKey(order.body().model());
    if (concurrentLoads == null || !done) {
      return;
    }
    model(configuration, engine.runner(), order.body().model())
        .ifPresent(
            model ->
                storeLoadLimiter.finish(
                    Duration.between(order.sentAt(), now),
                    model.loadFromStore(),
                    concurrentLoads.intValue(),
                    now));
  }

  /** Handles the outcome of an order. */
  public void acceptOutcome(String runner, long number, FleetOrderOutcome outcome, Instant now) {
    EngineState engine = engines.get(runner);
    if (engine != null) {
      engine.acceptOutcome(number, outcome, now);
      reviseModels(engine);
    }
  }

  // Decisions

  /**
   * Returns the orders to send now.
   *
   * @param mayOrder whether orders may be sent to a runner
   */
  public List<NumberedOrder> decide(
      GatewayConfiguration configuration, Predicate<String> mayOrder, Instant now) {
    orderable = mayOrder;
    for (EngineState engine : engines.values()) {
      if (engine.advance(now)) {
        reviseModels(engine);
      }
    }
    demand.removeOlderThan(now.minus(NODE_TIMEOUT));
    usage.removeOlderThan(now.minus(NODE_TIMEOUT));
    Map<DemandKey, DemandAggregator.PendingRequests> pending = demand.pendingRequests();
    Map<String, UsageAggregator.RunnerLoad> loads = usage.loads();
    loads.forEach((runner, load) -> recordAdapterUse(runner, load, now));
    List<NumberedOrder> orders = new ArrayList<>();
    List<Plan.PlannedOrder> overCapacity = new ArrayList<>();
    List<ModelForecast> newForecasts = new ArrayList<>();
    for (ServicePool service : configuration.services().values()) {
      if (service.engine().isEmpty()) {
        continue;
      }
      PlanInput input = planInput(service.name(), service.engine().get(), pending, loads, now);
      Plan plan =
          planners.computeIfAbsent(service.name(), name -> ModelPlanner.create()).plan(input);
      if (!plan.orders().isEmpty()) {
        EngineCapacity capacity = EngineCapacity.of(input.spec());
        for (Plan.PlannedOrder planned : plan.orders()) {
          EngineState engine = engines.get(planned.runner());
          if (engine.openOrder().isPresent()
              || !capacity.fits(planned.order(), engine.occupancy())) {
            overCapacity.add(planned);
          } else {
            orders.add(
                beginOrder(planned, service.engine().get(), loads.get(planned.runner()), now));
          }
        }
      }
      for (Plan.Forecast forecast : plan.forecasts()) {
        newForecasts.add(
            new ModelForecast(service.name(), forecast.model(), "", forecast.startsInMillis()));
      }
    }
    forecasts = newForecasts;
    withheldOrders = overCapacity;
    return orders;
  }

  /**
   * Publishes forecasts for requested models and adapters that are not loaded while no order may be
   * sent yet.
   *
   * @param blocked time until the first order may be sent
   */
  public void forecastWhileBlocked(
      GatewayConfiguration configuration, Duration blocked, Instant now) {
    demand.removeOlderThan(now.minus(NODE_TIMEOUT));
    Set<DemandKey> loaded = new HashSet<>();
    for (EngineState engine : engines.values()) {
      String service = serviceOf.get(engine.runner());
      engine
          .models()
          .forEach(
              (model, adapters) -> {
                loaded.add(DemandKey.of(service, model));
                adapters.forEach(each -> loaded.add(new DemandKey(service, model, each)));
              });
    }
    List<ModelForecast> blockedForecasts = new ArrayList<>();
    for (DemandKey key : demand.pendingRequests().keySet()) {
      if (!loaded.contains(key) && configuration.engineOf(key.service()).isPresent()) {
        blockedForecasts.add(
            new ModelForecast(key.service(), key.model(), key.adapter(), blocked.toMillis()));
      }
    }
    forecasts = blockedForecasts;
  }

  private void recordAdapterUse(String runner, UsageAggregator.RunnerLoad load, Instant now) {
    EngineState engine = engines.get(runner);
    if (engine == null) {
      return;
    }
    load.adaptersInUse().forEach(adapter -> engine.recordAdapterUse(adapter, now));
  }

  private NumberedOrder beginOrder(
      Plan.PlannedOrder planned,
      EngineSpec spec,
      UsageAggregator.RunnerLoad runnerLoad,
      Instant now) {
    EngineState engine = engines.get(planned.runner());
    engine.markIdleUnload(
        runnerLoad == null
            || runnerLoad.runningByModel().getOrDefault(planned.order().model(), 0) == 0);
    long number = nextOrder++;
    final long expected = engine.orderCount();
    final OrderBasis basis = engine.basis(now);
    engine.beginOrder(number, planned.order(), expectedDuration(planned.order(), spec), now);
    reviseModels(engine);
    if (planned.order() instanceof FleetOrder.LoadModel load && load.source() == LoadSource.STORE) {
      storeLoadLimiter.begin(now);
      concurrentStoreLoads.put(
          number, (long) countStoreLoads(serviceOf.get(planned.runner()), now));
    }
    return new NumberedOrder(
        number,
        planned.runner(),
        engine.bornMillis(),
        expected,
        planned.order(),
        planned.reason(),
        basis);
  }

  private static Duration expectedDuration(FleetOrder order, EngineSpec spec) {
    return switch (order) {
      case FleetOrder.LoadModel load ->
          spec.models().stream()
              .filter(model -> model.name().equals(load.model()))
              .findFirst()
              .map(model -> model.loadFrom(load.source()))
              .orElse(Duration.ZERO);
      case FleetOrder.UnloadModel unload -> IDLE_UNLOAD_TIME;
      case FleetOrder.LoadAdapter load -> ADAPTER_LOAD_TIME;
      case FleetOrder.UnloadAdapter unload -> Duration.ZERO;
    };
  }

  private PlanInput planInput(
      String service,
      EngineSpec spec,
      Map<DemandKey, DemandAggregator.PendingRequests> pending,
      Map<String, UsageAggregator.RunnerLoad> loads,
      Instant now) {
    List<PlanInput.Engine> plannable = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      if (service.equals(serviceOf.get(engine.runner())) && !engine.isUnresponsive(now)) {
        plannable.add(engineInput(engine, loads.get(engine.runner()), now));
      }
    }
    return new PlanInput(
        spec,
        plannable,
        demand.summarize(service, spec, pending, plannable, now),
        DemandAggregator.adapterDemands(service, pending),
        countStoreLoads(service, now),
        storeLoadLimiter.limit(),
        storeLoadLimiter.allows(spec.loadsPerSecond(), now),
        modelsOfLeavingRunners.getOrDefault(service, Set.of()));
  }

  private PlanInput.Engine engineInput(
      EngineState engine, UsageAggregator.RunnerLoad load, Instant now) {
    final Optional<LoadHistory.Loading> loading = loading(engine, now);
    return new PlanInput.Engine(
        engine.runner(),
        engine.domain(),
        engine.isFree(now) && orderable.test(engine.runner()),
        engine.modelsIncludingIncoming(),
        engine.occupancy(),
        loading.map(LoadHistory.Loading::model).orElse(""),
        loading.map(LoadHistory.Loading::source).orElse(LoadSource.MEMORY),
        loading.map(LoadHistory.Loading::leftMillis).orElse(0L),
        engine.inHostMemory(),
        engine.onDisk(),
        load == null ? Map.of() : load.runningByModel(),
        load == null ? Set.of() : load.adaptersInUse(),
        engine.idleAdapters(now.minus(ADAPTER_RETENTION)));
  }

  private Optional<LoadHistory.Loading> loading(EngineState engine, Instant now) {
    return engine
        .loading()
        .map(
            order -> {
              FleetOrder.LoadModel load = (FleetOrder.LoadModel) order.body();
              return new LoadHistory.Loading(
                  engine.runner(), load.model(), load.source(), order.remainingMillis(now));
            })
        .or(() -> inheritedLoads.find(engine, now));
  }

  /** Returns the loads to hand over to the next lease holder. */
  public LoadHistory loads(Instant now) {
    return new LoadHistory(
        engines.values().stream().flatMap(engine -> loading(engine, now).stream()).toList(),
        storeLoadLimiter.agesMillis(now));
  }

  private int countStoreLoads(String service, Instant now) {
    int count = 0;
    for (EngineState engine : engines.values()) {
      boolean fromStore =
          loading(engine, now).filter(load -> load.source() == LoadSource.STORE).isPresent();
      if (fromStore && service.equals(serviceOf.get(engine.runner()))) {
        count++;
      }
    }
    return count;
  }

  private Optional<HostedModel> model(
      GatewayConfiguration configuration, String runner, String name) {
    return configuration.engineOf(serviceOf.getOrDefault(runner, "")).stream()
        .flatMap(spec -> spec.models().stream())
        .filter(model -> model.name().equals(name))
        .findFirst();
  }

  /**
   * Returns the engines to request a report from now, and records the requests.
   *
   * @param mayRequestReport whether a report may be requested from a runner
   */
  public List<String> pollReportRequests(Predicate<String> mayRequestReport, Instant now) {
    List<String> runners = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      Instant lastRequestAt = reportRequestedAt.getOrDefault(engine.runner(), Instant.MIN);
      Duration interval = engine.needsReport(now) ? REPORT_INTERVAL : IDLE_REPORT_INTERVAL;
      boolean due =
          lastRequestAt.equals(Instant.MIN) || !now.isBefore(lastRequestAt.plus(interval));
      if (due && mayRequestReport.test(engine.runner())) {
        reportRequestedAt.put(engine.runner(), now);
        engine.recordReportRequest(now);
        runners.add(engine.runner());
      }
    }
    return runners;
  }

  /** Returns the models and adapters that occupy memory or slots of an engine, as known here. */
  public Map<String, Set<String>> occupancy(String runner) {
    EngineState engine = engines.get(runner);
    return engine == null ? Map.of() : engine.occupancy();
  }

  private void reviseModels(EngineState engine) {
    engine.setViewRevision(++revision);
    modelRevision = revision;
  }

  // Output

  /** Returns the views that changed after a revision. */
  public List<RunnerView> viewsSince(long since, Instant now) {
    Map<String, UsageAggregator.RunnerLoad> loads = usage.loads();
    List<RunnerView> views = new ArrayList<>();
    for (EngineState engine : engines.values()) {
      UsageAggregator.RunnerLoad load = loads.get(engine.runner());
      int running = load == null ? 0 : load.running();
      int published = publishedRunning.getOrDefault(engine.runner(), 0);
      if (Math.abs(running - published) > published * LOAD_CHANGE_THRESHOLD) {
        publishedRunning.put(engine.runner(), running);
        engine.setViewRevision(++revision);
      }
      if (engine.viewRevision() > since) {
        views.add(view(engine, load, now));
      }
    }
    return views;
  }

  private static RunnerView view(EngineState engine, UsageAggregator.RunnerLoad load, Instant now) {
    List<LoadedModel> models = new ArrayList<>();
    engine
        .models()
        .forEach((name, adapters) -> models.add(new LoadedModel(name, List.copyOf(adapters))));
    return new RunnerView(
        engine.runner(),
        engine.bornMillis(),
        engine.viewRevision(),
        models,
        engine.loading().map(order -> order.body().model()).orElse(""),
        engine.loading().map(order -> order.remainingMillis(now)).orElse(0L),
        load == null ? 0 : load.running(),
        load == null ? 0 : load.tokens());
  }

  /** Returns the revision of the latest change to a view other than its running requests. */
  public long modelRevision() {
    return modelRevision;
  }

  /**
   * Returns the orders of the last plan that were not sent because they exceed the capacity of the
   * engine or the engine still has an order in progress.
   */
  public List<Plan.PlannedOrder> withheldOrders() {
    return withheldOrders;
  }

  /** Returns when the models that requests are waiting for can serve. */
  public List<ModelForecast> forecasts() {
    return forecasts;
  }

  /** Returns the latest revision of any view. */
  public long revision() {
    return revision;
  }
}
