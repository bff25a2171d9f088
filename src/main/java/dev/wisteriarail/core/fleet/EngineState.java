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
 * One engine as the coordinator knows it: what it holds, and the order that it carries out.
 *
 * <p>Each order names how many orders the engine accepted before it, so an order that arrives late,
 * after newer ones, is refused. The count is kept here; after any surprise it is taken anew from a
 * report that was asked for long enough after the last order.
 *
 * <p>Life cycle: one per run of a runner and of a coordinator. Not thread-safe.
 */
final class EngineState {

  /** Reports are some hundred milliseconds old; after this long they include what was done. */
  static final Duration REPORT_LAG = EngineRoom.REPORT_LAG;

  /** Time by which an order that was taken as done is done in truth, at most. */
  private static final Duration ASSUMED_LIMIT = Duration.ofMillis(1_200);

  /** Pause before an order that came too early after such an order is sent again. */
  private static final Duration ASSUMED_RETRY = Duration.ofMillis(40);

  /** An engine that has not answered a question for this long is not planned with. */
  private static final Duration SILENCE = Duration.ofMillis(1_200);

  private final String runner;
  private final long bornMillis;
  private final String domain;
  private final Map<String, Set<String>> models = new TreeMap<>();
  private final EngineRoom room = new EngineRoom();
  private final Map<String, Instant> adapterUsedAt = new HashMap<>();
  private Set<String> inHostMemory = new HashSet<>();
  private Set<String> onDisk = new HashSet<>();
  private long orders;
  private boolean ordersSure;
  private boolean busy;
  private boolean idleUnload;
  private Set<String> droppedAdapters = Set.of();
  private Optional<OpenOrder> open = Optional.empty();
  private Instant changedAt;
  private Instant assumedAt = Instant.MIN;
  private Optional<OpenOrder> assumedLoad = Optional.empty();
  private boolean inDoubt;
  private boolean confirmed = true;
  private Instant notBefore = Instant.MIN;
  private Instant unansweredSince = Instant.MAX;
  private long revision;
  private Optional<RunnerReport> lastReport = Optional.empty();
  private Instant lastReportAskedAt = Instant.MIN;

  private EngineState(RunnerEntry entry, Instant now) {
    runner = entry.id();
    bornMillis = entry.bornMillis();
    domain = entry.domain();
    changedAt = now;
    room.add(entry.models());
    adopt(entry.models(), entry.inHostMemory(), entry.onDisk());
  }

  /** Returns the state of an engine that was just found in the directory. */
  static EngineState of(RunnerEntry entry, Instant now) {
    return new EngineState(entry, now);
  }

  /** Returns the state of an engine that no order can have reached lately. */
  static EngineState quiet(RunnerEntry entry, Instant now) {
    return new EngineState(entry, now.minus(REPORT_LAG).minus(REPORT_LAG));
  }

  private void adopt(List<LoadedModel> held, Set<String> memory, Set<String> disk) {
    models.clear();
    for (LoadedModel model : held) {
      Set<String> adapters = new TreeSet<>(model.adapters());
      adapters.removeIf(adapter -> room.isLeaving(model.name() + "/" + adapter));
      models.put(model.name(), adapters);
    }
    inHostMemory = new HashSet<>(memory);
    onDisk = new HashSet<>(disk);
  }

  // Reports

  /**
   * Takes a report.
   *
   * @param askedAt when it was asked for
   * @return whether what the engine can serve changed
   */
  boolean acceptReport(RunnerReport report, Instant askedAt, Instant now) {
    if (report.bornMillis() != 0 && bornMillis != 0 && report.bornMillis() != bornMillis) {
      return false;
    }
    unansweredSince = Instant.MAX;
    if (askedAt.isAfter(lastReportAskedAt)) {
      lastReport = Optional.of(report);
      lastReportAskedAt = askedAt;
    }
    if (open.isPresent()) {
      return settle(open.get(), report, askedAt, now);
    }
    boolean settled = askedAt.isAfter(changedAt.plus(REPORT_LAG));
    if (!settled || (ordersSure && report.orders() < orders)) {
      room.accept(report, askedAt, false);
      return false;
    }
    busy = report.busy();
    orders = report.orders();
    ordersSure = true;
    confirmed = true;
    endDoubt();
    return adoptIfChanged(report, askedAt);
  }

  private boolean adoptIfChanged(RunnerReport report, Instant askedAt) {
    room.accept(report, askedAt, true);
    Map<String, Set<String>> before = new TreeMap<>(models);
    adopt(report.models(), report.inHostMemory(), report.onDisk());
    return !before.equals(models);
  }

  private boolean settle(OpenOrder order, RunnerReport report, Instant askedAt, Instant now) {
    final boolean late = askedAt.isAfter(changedAt.plus(REPORT_LAG));
    boolean holds = report.models().stream().anyMatch(m -> m.name().equals(order.body().model()));
    boolean counted = report.orders() > order.expected();
    boolean done =
        switch (order.body()) {
          case FleetOrder.LoadModel load -> holds && counted;
          case FleetOrder.UnloadModel unload -> !holds && counted;
          default -> counted || late;
        };
    boolean dropped =
        late && !report.busy() && !done && (!order.accepted() || isOverdue(order, now));
    if (!done && !dropped) {
      return false;
    }
    if (counted && order.body() instanceof FleetOrder.UnloadAdapter) {
      room.unload(order.body(), now);
    } else if (done && order.body() instanceof FleetOrder.UnloadModel) {
      room.release(order.body());
    }
    open = Optional.empty();
    busy = report.busy();
    orders = report.orders();
    ordersSure = true;
    confirmed = true;
    endDoubt();
    adoptIfChanged(report, askedAt);
    changedAt = now;
    return true;
  }

  private static boolean isOverdue(OpenOrder order, Instant now) {
    return now.isAfter(order.expectedAt().plus(REPORT_LAG));
  }

  /** Takes a directory entry, which is older than a report but comes without a call. */
  boolean acceptEntry(RunnerEntry entry) {
    if (ordersSure || open.isPresent()) {
      return false;
    }
    Map<String, Set<String>> before = new TreeMap<>(models);
    room.add(entry.models());
    adopt(entry.models(), entry.inHostMemory(), entry.onDisk());
    return !before.equals(models);
  }

  // Orders

  /** Notes an order that goes out now. */
  void begin(long number, FleetOrder body, Duration expected, Instant now) {
    boolean takesRoom = isLoad(body) && room.load(body, now);
    open =
        Optional.of(new OpenOrder(number, body, orders, now, now.plus(expected), false, takesRoom));
    changedAt = now;
    if (body instanceof FleetOrder.UnloadModel unload) {
      droppedAdapters = models.getOrDefault(unload.model(), Set.of());
      models.remove(unload.model());
    } else if (body instanceof FleetOrder.UnloadAdapter unload) {
      models.getOrDefault(unload.model(), Set.of()).remove(unload.adapter());
    }
  }

  /**
   * Takes an accepted order as done when its time has come, without waiting for a report: the
   * unloading of a model that nothing runs on, and a load whose time does not depend on others. A
   * report that says otherwise is believed later.
   *
   * @return whether what the engine can serve changed
   */
  boolean advance(Instant now) {
    if (open.isEmpty() || !open.get().accepted() || now.isBefore(open.get().expectedAt())) {
      return false;
    }
    return switch (open.get().body()) {
      case FleetOrder.LoadModel load when load.source() != LoadSource.STORE -> {
        assumedLoad = open;
        assumeDone(now);
        noteLoaded(load.model());
        yield true;
      }
      case FleetOrder.UnloadModel unload when idleUnload -> {
        // The engine takes no order before the unloading is done.
        room.release(unload);
        assumeDone(now);
        yield true;
      }
      default -> false;
    };
  }

  private void assumeDone(Instant now) {
    inDoubt = false;
    open = Optional.empty();
    busy = false;
    confirmed = false;
    assumedAt = now;
    changedAt = now;
  }

  /**
   * Notes that the engine serves a model. Its host memory holds the newest copies only: which of
   * the others it still has is not known before the next report, their copies on disk stay.
   */
  private void noteLoaded(String model) {
    models.putIfAbsent(model, new TreeSet<>());
    onDisk.addAll(inHostMemory);
    onDisk.add(model);
    inHostMemory = new HashSet<>(Set.of(model));
  }

  private void endDoubt() {
    assumedLoad = Optional.empty();
    inDoubt = false;
  }

  /** Notes whether a request runs on the model that is unloaded. */
  void markIdleUnload(boolean idle) {
    idleUnload = idle;
  }

  /** Takes the answer to an order. */
  void finish(long number, FleetOrderOutcome outcome, Instant now) {
    if (open.isEmpty() || open.get().number() != number) {
      return;
    }
    OpenOrder order = open.get();
    changedAt = now;
    switch (outcome) {
      case ACCEPTED -> {
        orders++;
        assumedAt = Instant.MIN;
        // An engine takes one order at a time, so a load that was in doubt is done.
        assumedLoad.filter(load -> inDoubt).ifPresent(load -> noteLoaded(load.body().model()));
        endDoubt();
        if (isLong(order.body())) {
          open = Optional.of(order.withAccepted());
          busy = true;
        } else {
          open = Optional.empty();
          apply(order.body(), now);
          if (order.body() instanceof FleetOrder.UnloadAdapter) {
            room.unload(order.body(), now);
          }
        }
      }
      case HOLDS -> {
        open = Optional.empty();
        apply(order.body(), now);
        if (order.body() instanceof FleetOrder.UnloadAdapter) {
          room.release(order.body());
          orders++;
        } else {
          ordersSure = false;
        }
      }
      case UNKNOWN -> ordersSure = false;
      case CONFLICT -> {
        open = Optional.empty();
        undo(order);
        if (now.isBefore(assumedAt.plus(ASSUMED_LIMIT))) {
          // The order before it was taken as done too early: nothing is sent to its model yet.
          notBefore = now.plus(ASSUMED_RETRY);
          assumedLoad.ifPresent(load -> models.remove(load.body().model()));
          inDoubt = assumedLoad.isPresent();
        } else {
          ordersSure = false;
        }
      }
      default -> {
        open = Optional.empty();
        ordersSure = false;
        undo(order);
      }
    }
  }

  private static boolean isLoad(FleetOrder body) {
    return body instanceof FleetOrder.LoadModel || body instanceof FleetOrder.LoadAdapter;
  }

  private static boolean isLong(FleetOrder body) {
    return body instanceof FleetOrder.LoadModel || body instanceof FleetOrder.UnloadModel;
  }

  private void apply(FleetOrder body, Instant now) {
    switch (body) {
      case FleetOrder.LoadModel load -> noteLoaded(load.model());
      case FleetOrder.UnloadModel unload -> models.remove(unload.model());
      case FleetOrder.LoadAdapter load -> {
        models.computeIfAbsent(load.model(), name -> new TreeSet<>()).add(load.adapter());
        room.load(load, now);
        adapterUsedAt.put(load.model() + "/" + load.adapter(), now);
      }
      case FleetOrder.UnloadAdapter unload ->
          models.getOrDefault(unload.model(), Set.of()).remove(unload.adapter());
    }
  }

  /** Takes back what a refused order would have changed. */
  private void undo(OpenOrder order) {
    FleetOrder body = order.body();
    if (order.takesRoom()) {
      room.release(body);
    }
    if (body instanceof FleetOrder.UnloadModel unload) {
      models.putIfAbsent(unload.model(), new TreeSet<>(droppedAdapters));
    } else if (body instanceof FleetOrder.UnloadAdapter unload
        && models.containsKey(unload.model())) {
      models.get(unload.model()).add(unload.adapter());
    }
  }

  /** Notes that requests use an adapter, named by its model and itself with a slash between. */
  void touchAdapter(String adapter, Instant now) {
    adapterUsedAt.put(adapter, now);
  }

  /** Gives the view a new number. */
  void revise(long newRevision) {
    revision = newRevision;
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

  /** Returns the models that it serves, with their adapters and those that are on their way. */
  Map<String, Set<String>> modelsAndComing() {
    Map<String, Set<String>> all = new TreeMap<>();
    models.forEach((name, adapters) -> all.put(name, new TreeSet<>(adapters)));
    room.contents()
        .forEach(
            (name, adapters) -> {
              if (all.containsKey(name)) {
                adapters.stream()
                    .filter(adapter -> !room.isLeaving(name + "/" + adapter))
                    .forEach(all.get(name)::add);
              }
            });
    return all;
  }

  /** Returns the models that take room in it, with the adapters that do. */
  Map<String, Set<String>> room() {
    return room.contents();
  }

  /** Returns what an order given now is decided from. */
  OrderBasis basis(Instant now) {
    return new OrderBasis(
        room().values().stream().mapToInt(Set::size).sum(),
        lastReport.isEmpty() ? -1 : Duration.between(lastReportAskedAt, now).toMillis(),
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

  long orders() {
    return orders;
  }

  long revision() {
    return revision;
  }

  Optional<OpenOrder> open() {
    return open;
  }

  /** Returns the load under way of a model that cannot serve yet. */
  Optional<OpenOrder> loading() {
    return open.filter(order -> order.body() instanceof FleetOrder.LoadModel)
        .or(() -> assumedLoad.filter(load -> inDoubt));
  }

  /** Returns whether an order may be sent to it. */
  boolean isFree(Instant now) {
    return open.isEmpty() && ordersSure && !busy && !now.isBefore(notBefore);
  }

  /** Returns whether a new report is needed to know more. */
  boolean wantsReport(Instant now) {
    if (open.isPresent()) {
      OpenOrder order = open.get();
      return !order.accepted() || !now.isBefore(order.expectedAt());
    }
    return !ordersSure || busy || !confirmed || room.wantsReport(now);
  }

  /** Notes that the engine is asked for a report. */
  void ask(Instant now) {
    if (unansweredSince.equals(Instant.MAX)) {
      unansweredSince = now;
    }
  }

  /** Returns whether the engine has left questions unanswered for long. */
  boolean isSilent(Instant now) {
    return !unansweredSince.equals(Instant.MAX) && now.isAfter(unansweredSince.plus(SILENCE));
  }

  /** Returns the loaded adapters that no request used since a time, the longest unused first. */
  List<String> idleAdapters(Instant since) {
    List<String> idle = new ArrayList<>();
    models.forEach((name, adapters) -> adapters.forEach(each -> idle.add(name + "/" + each)));
    idle.removeIf(adapter -> adapterUsedAt(adapter).isAfter(since) || !room.isLoaded(adapter));
    idle.sort(Comparator.comparing(this::adapterUsedAt));
    return idle;
  }

  private Instant adapterUsedAt(String adapter) {
    return adapterUsedAt.getOrDefault(adapter, Instant.MIN);
  }

  /** Returns where the weights of a model would come from. */
  LoadSource source(String model) {
    if (inHostMemory.contains(model)) {
      return LoadSource.MEMORY;
    }
    return onDisk.contains(model) ? LoadSource.DISK : LoadSource.STORE;
  }
}
