package dev.wisteriarail.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The coordinator's view of one engine: the models that it holds and the order that it executes.
 *
 * <p>Each order carries the number of orders that the engine accepted before it, so the engine
 * refuses an order that arrives late, after newer ones. The count is tracked here. After any
 * unexpected outcome it is read again from a report that was requested long enough after the last
 * order.
 *
 * <p>Life cycle: one per run of a runner; discarded when the node gains or loses the lease. Not
 * thread-safe.
 */
final class EngineState {

  /** Time after which a report includes a change: reports are some hundred milliseconds old. */
  static final Duration REPORT_LAG = EngineOccupancy.REPORT_LAG;

  /** Longest time between assuming that an order is complete and its real completion. */
  private static final Duration ASSUMPTION_WINDOW = Duration.ofMillis(1_200);

  /**
   * Delay before resending an order that an engine refused because such an order was not complete.
   */
  private static final Duration ASSUMPTION_RETRY_DELAY = Duration.ofMillis(40);

  /** An engine that has not answered a report request for this long is left out of plans. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_200);

  private final String runner;
  private final long bornMillis;
  private final String domain;
  private final Map<String, Set<String>> models = new TreeMap<>();
  private final EngineOccupancy occupancy = new EngineOccupancy();
  private final Map<String, Instant> adapterUsedAt = new HashMap<>();
  private Set<String> inHostMemory = new HashSet<>();
  private Set<String> onDisk = new HashSet<>();
  private long orderCount;
  private boolean orderCountKnown;
  private boolean busy;
  private boolean unloadingIdleModel;
  private Set<String> unloadedAdapters = Set.of();
  private Optional<OpenOrder> openOrder = Optional.empty();
  private Instant changedAt;
  private Instant assumedAt = Instant.MIN;
  private Optional<OpenOrder> assumedLoad = Optional.empty();
  private boolean assumedLoadDoubtful;
  private boolean confirmed = true;
  private Instant notBefore = Instant.MIN;
  private Instant unansweredSince = Instant.MAX;
  private long viewRevision;
  private Optional<RunnerReport> lastReport = Optional.empty();
  private Instant lastReportRequestedAt = Instant.MIN;

  private EngineState(RunnerEntry entry, Instant now) {
    runner = entry.id();
    bornMillis = entry.bornMillis();
    domain = entry.domain();
    changedAt = now;
    occupancy.add(entry.models());
    replaceModels(entry.models(), entry.inHostMemory(), entry.onDisk());
  }

  /** Returns the state of an engine that was found in the directory. */
  static EngineState of(RunnerEntry entry, Instant now) {
    return new EngineState(entry, now);
  }

  /** Returns the state of an engine that cannot have received an order recently. */
  static EngineState withoutRecentOrders(RunnerEntry entry, Instant now) {
    return new EngineState(entry, now.minus(REPORT_LAG).minus(REPORT_LAG));
  }

  private void replaceModels(
      List<LoadedModel> loaded, Set<String> newInHostMemory, Set<String> newOnDisk) {
    models.clear();
    for (LoadedModel model : loaded) {
      Set<String> adapters = new TreeSet<>(model.adapters());
      adapters.removeIf(adapter -> occupancy.isUnloading(model.name() + "/" + adapter));
      models.put(model.name(), adapters);
    }
    inHostMemory = new HashSet<>(newInHostMemory);
    onDisk = new HashSet<>(newOnDisk);
  }

  // Reports

  /**
   * Handles a report.
   *
   * @param requestedAt when the report was requested
   * @return whether the models that the engine can serve changed
   */
  boolean acceptReport(RunnerReport report, Instant requestedAt, Instant now) {
    if (report.bornMillis() != 0 && bornMillis != 0 && report.bornMillis() != bornMillis) {
      return false;
    }
    unansweredSince = Instant.MAX;
    if (requestedAt.isAfter(lastReportRequestedAt)) {
      lastReport = Optional.of(report);
      lastReportRequestedAt = requestedAt;
    }
    if (openOrder.isPresent()) {
      return settleOrder(openOrder.get(), report, requestedAt, now);
    }
    boolean reflectsLastChange = requestedAt.isAfter(changedAt.plus(REPORT_LAG));
    if (!reflectsLastChange || (orderCountKnown && report.orders() < orderCount)) {
      occupancy.accept(report, requestedAt, false);
      return false;
    }
    busy = report.busy();
    orderCount = report.orders();
    orderCountKnown = true;
    confirmed = true;
    clearAssumedLoad();
    return applyReport(report, requestedAt);
  }

  private boolean applyReport(RunnerReport report, Instant requestedAt) {
    occupancy.accept(report, requestedAt, true);
    Map<String, Set<String>> before = new TreeMap<>(models);
    replaceModels(report.models(), report.inHostMemory(), report.onDisk());
    return !before.equals(models);
  }

  private boolean settleOrder(
      OpenOrder order, RunnerReport report, Instant requestedAt, Instant now) {
    final boolean reflectsOrder = requestedAt.isAfter(changedAt.plus(REPORT_LAG));
    boolean loaded = report.models().stream().anyMatch(m -> m.name().equals(order.body().model()));
    boolean counted = report.orders() > order.expectedOrderCount();
    boolean done =
        switch (order.body()) {
          case FleetOrder.LoadModel load -> loaded && counted;
          case FleetOrder.UnloadModel unload -> !loaded && counted;
          default -> counted || reflectsOrder;
        };
    boolean dropped =
        reflectsOrder && !report.busy() && !done && (!order.accepted() || isOverdue(order, now));
    if (!done && !dropped) {
      return false;
    }
    if (counted && order.body() instanceof FleetOrder.UnloadAdapter) {
      occupancy.markUnloading(order.body(), now);
    } else if (done && order.body() instanceof FleetOrder.UnloadModel) {
      occupancy.release(order.body());
    }
    openOrder = Optional.empty();
    busy = report.busy();
    orderCount = report.orders();
    orderCountKnown = true;
    confirmed = true;
    clearAssumedLoad();
    applyReport(report, requestedAt);
    changedAt = now;
    return true;
  }

  private static boolean isOverdue(OpenOrder order, Instant now) {
    return now.isAfter(order.expectedDoneAt().plus(REPORT_LAG));
  }

  /**
   * Handles a directory entry. It is older than a report, but needs no request to the engine.
   *
   * @return whether the models that the engine can serve changed
   */
  boolean acceptEntry(RunnerEntry entry) {
    if (orderCountKnown || openOrder.isPresent()) {
      return false;
    }
    Map<String, Set<String>> before = new TreeMap<>(models);
    occupancy.add(entry.models());
    replaceModels(entry.models(), entry.inHostMemory(), entry.onDisk());
    return !before.equals(models);
  }

  // Orders

  /** Records an order that is being sent. */
  void beginOrder(long number, FleetOrder order, Duration expectedDuration, Instant now) {
    boolean reservesCapacity = isLoad(order) && occupancy.reserve(order, now);
    openOrder =
        Optional.of(
            new OpenOrder(
                number,
                order,
                orderCount,
                now,
                now.plus(expectedDuration),
                false,
                reservesCapacity));
    changedAt = now;
    if (order instanceof FleetOrder.UnloadModel unload) {
      unloadedAdapters = models.getOrDefault(unload.model(), Set.of());
      models.remove(unload.model());
    } else if (order instanceof FleetOrder.UnloadAdapter unload) {
      models.getOrDefault(unload.model(), Set.of()).remove(unload.adapter());
    }
  }

  /**
   * Assumes that an accepted order is complete once its expected time has passed, without waiting
   * for a report. This applies to unloading a model without running requests and to a load whose
   * duration does not depend on other loads. A later report corrects a wrong assumption.
   *
   * @return whether the models that the engine can serve changed
   */
  boolean advance(Instant now) {
    if (openOrder.isEmpty()
        || !openOrder.get().accepted()
        || now.isBefore(openOrder.get().expectedDoneAt())) {
      return false;
    }
    return switch (openOrder.get().body()) {
      case FleetOrder.LoadModel load when load.source() != LoadSource.STORE -> {
        assumedLoad = openOrder;
        assumeDone(now);
        markLoaded(load.model());
        yield true;
      }
      case FleetOrder.UnloadModel unload when unloadingIdleModel -> {
        // The engine accepts no order before the unload is complete.
        occupancy.release(unload);
        assumeDone(now);
        yield true;
      }
      default -> false;
    };
  }

  private void assumeDone(Instant now) {
    assumedLoadDoubtful = false;
    openOrder = Optional.empty();
    busy = false;
    confirmed = false;
    assumedAt = now;
    changedAt = now;
  }

  /**
   * Records that the engine serves a model. Host memory holds only the latest copies: which other
   * models it still holds is unknown until the next report, but their copies on disk remain.
   */
  private void markLoaded(String model) {
    models.putIfAbsent(model, new TreeSet<>());
    onDisk.addAll(inHostMemory);
    onDisk.add(model);
    inHostMemory = new HashSet<>(Set.of(model));
  }

  private void clearAssumedLoad() {
    assumedLoad = Optional.empty();
    assumedLoadDoubtful = false;
  }

  /** Records whether the model that is being unloaded has no running requests. */
  void markIdleUnload(boolean idle) {
    unloadingIdleModel = idle;
  }

  /** Handles the outcome of an order. */
  void acceptOutcome(long number, FleetOrderOutcome outcome, Instant now) {
    if (openOrder.isEmpty() || openOrder.get().number() != number) {
      return;
    }
    OpenOrder order = openOrder.get();
    changedAt = now;
    switch (outcome) {
      case ACCEPTED -> {
        orderCount++;
        assumedAt = Instant.MIN;
        // An engine executes one order at a time, so the load in question is complete.
        assumedLoad
            .filter(load -> assumedLoadDoubtful)
            .ifPresent(load -> markLoaded(load.body().model()));
        clearAssumedLoad();
        if (completesLater(order.body())) {
          openOrder = Optional.of(order.withAccepted());
          busy = true;
        } else {
          openOrder = Optional.empty();
          apply(order.body(), now);
          if (order.body() instanceof FleetOrder.UnloadAdapter) {
            occupancy.markUnloading(order.body(), now);
          }
        }
      }
      case HOLDS -> {
        openOrder = Optional.empty();
        apply(order.body(), now);
        if (order.body() instanceof FleetOrder.UnloadAdapter) {
          occupancy.release(order.body());
          orderCount++;
        } else {
          orderCountKnown = false;
        }
      }
      case UNKNOWN -> orderCountKnown = false;
      case CONFLICT -> {
        openOrder = Optional.empty();
        rollBack(order);
        if (now.isBefore(assumedAt.plus(ASSUMPTION_WINDOW))) {
          // The previous order was assumed complete too early: its model gets no requests yet.
          notBefore = now.plus(ASSUMPTION_RETRY_DELAY);
          assumedLoad.ifPresent(load -> models.remove(load.body().model()));
          assumedLoadDoubtful = assumedLoad.isPresent();
        } else {
          orderCountKnown = false;
        }
      }
      default -> {
        openOrder = Optional.empty();
        orderCountKnown = false;
        rollBack(order);
      }
    }
  }

  private static boolean isLoad(FleetOrder body) {
    return body instanceof FleetOrder.LoadModel || body instanceof FleetOrder.LoadAdapter;
  }

  private static boolean completesLater(FleetOrder body) {
    return body instanceof FleetOrder.LoadModel || body instanceof FleetOrder.UnloadModel;
  }

  private void apply(FleetOrder body, Instant now) {
    switch (body) {
      case FleetOrder.LoadModel load -> markLoaded(load.model());
      case FleetOrder.UnloadModel unload -> models.remove(unload.model());
      case FleetOrder.LoadAdapter load -> {
        models.computeIfAbsent(load.model(), name -> new TreeSet<>()).add(load.adapter());
        occupancy.reserve(load, now);
        adapterUsedAt.put(load.model() + "/" + load.adapter(), now);
      }
      case FleetOrder.UnloadAdapter unload ->
          models.getOrDefault(unload.model(), Set.of()).remove(unload.adapter());
    }
  }

  /** Reverts the assumed effect of a refused order. */
  private void rollBack(OpenOrder order) {
    FleetOrder body = order.body();
    if (order.reservesCapacity()) {
      occupancy.release(body);
    }
    if (body instanceof FleetOrder.UnloadModel unload) {
      models.putIfAbsent(unload.model(), new TreeSet<>(unloadedAdapters));
    } else if (body instanceof FleetOrder.UnloadAdapter unload
        && models.containsKey(unload.model())) {
      models.get(unload.model()).add(unload.adapter());
    }
  }

  /** Records that requests use an adapter, named {@code model/adapter}. */
  void recordAdapterUse(String adapter, Instant now) {
    adapterUsedAt.put(adapter, now);
  }

  /** Sets the revision of the engine's view. */
  void setViewRevision(long newRevision) {
    viewRevision = newRevision;
  }

  // Accessors

  String runner() {
    return runner;
  }

  long bornMillis() {
    return bornMillis;
  }

  String domain() {
    return domain;
  }

  Map<String, Set<String>> models() {
    return models;
  }

  /** Returns the models that it serves, with their adapters, including those being loaded. */
  Map<String, Set<String>> modelsIncludingIncoming() {
    Map<String, Set<String>> all = new TreeMap<>();
    models.forEach((name, adapters) -> all.put(name, new TreeSet<>(adapters)));
    occupancy
        .contents()
        .forEach(
            (name, adapters) -> {
              if (all.containsKey(name)) {
                adapters.stream()
                    .filter(adapter -> !occupancy.isUnloading(name + "/" + adapter))
                    .forEach(all.get(name)::add);
              }
            });
    return all;
  }

  /** Returns the models that occupy its capacity, each with the adapters that do. */
  Map<String, Set<String>> occupancy() {
    return occupancy.contents();
  }

  /** Returns the state on which an order that is sent now is based. */
  OrderBasis basis(Instant now) {
    return new OrderBasis(
        occupancy().values().stream().mapToInt(Set::size).sum(),
        lastReport.isEmpty() ? -1 : Duration.between(lastReportRequestedAt, now).toMillis(),
        lastReport.map(RunnerReport::orders).orElse(-1L),
        lastReport.stream()
            .flatMap(report -> report.models().stream())
            .mapToInt(model -> model.adapters().size())
            .sum(),
        lastReport.map(RunnerReport::incoming).orElse(Set.of()));
  }

  Set<String> inHostMemory() {
    return inHostMemory;
  }

  Set<String> onDisk() {
    return onDisk;
  }

  long orderCount() {
    return orderCount;
  }

  long viewRevision() {
    return viewRevision;
  }

  Optional<OpenOrder> openOrder() {
    return openOrder;
  }

  /** Returns the load in progress of a model that cannot serve yet. */
  Optional<OpenOrder> loading() {
    return openOrder
        .filter(order -> order.body() instanceof FleetOrder.LoadModel)
        .or(() -> assumedLoad.filter(load -> assumedLoadDoubtful));
  }

  /** Returns whether an order may be sent to the engine. */
  boolean isFree(Instant now) {
    return openOrder.isEmpty() && orderCountKnown && !busy && !now.isBefore(notBefore);
  }

  /** Returns whether a new report is needed. */
  boolean needsReport(Instant now) {
    if (openOrder.isPresent()) {
      OpenOrder order = openOrder.get();
      return !order.accepted() || !now.isBefore(order.expectedDoneAt());
    }
    return !orderCountKnown || busy || !confirmed || occupancy.needsReport(now);
  }

  /** Records that a report was requested from the engine. */
  void recordReportRequest(Instant now) {
    if (unansweredSince.equals(Instant.MAX)) {
      unansweredSince = now;
    }
  }

  /** Returns whether the engine has left report requests unanswered for too long. */
  boolean isUnresponsive(Instant now) {
    return !unansweredSince.equals(Instant.MAX)
        && now.isAfter(unansweredSince.plus(REPORT_TIMEOUT));
  }

  /** Returns the loaded adapters without a use since a time, the least recently used first. */
  List<String> idleAdapters(Instant since) {
    List<String> idle = new ArrayList<>();
    models.forEach((name, adapters) -> adapters.forEach(each -> idle.add(name + "/" + each)));
    idle.removeIf(adapter -> adapterUsedAt(adapter).isAfter(since) || !occupancy.isLoaded(adapter));
    idle.sort(Comparator.comparing(this::adapterUsedAt));
    return idle;
  }

  private Instant adapterUsedAt(String adapter) {
    return adapterUsedAt.getOrDefault(adapter, Instant.MIN);
  }

  /** Returns the source from which the weights of a model would be loaded. */
  LoadSource source(String model) {
    if (inHostMemory.contains(model)) {
      return LoadSource.MEMORY;
    }
    return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
  }
}
