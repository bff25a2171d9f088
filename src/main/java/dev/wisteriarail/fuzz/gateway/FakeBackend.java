package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.fleet.RunnerWord;
import dev.wisteriarail.core.gateway.GatewayEffect;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** One runner: an engine that takes orders, or a plain one. Not thread-safe. */
final class FakeBackend {

  private static final Duration LOAD = Duration.ofMillis(900);

  private final String id;
  private final String service;
  private final boolean engine;
  private final int port;
  private final Map<String, Set<String>> models = new TreeMap<>();
  private final Set<String> disk = new TreeSet<>();
  private long born = 1;
  private long written;
  private long orders;
  private long fence;
  private String holder = "";
  private Instant busyUntil = Instant.EPOCH;
  private String loading = "";
  private boolean up = true;
  private boolean draining;
  private boolean saysLeaving;
  private Instant pausesUntil = Instant.EPOCH;
  private Mood mood = Mood.SOUND;

  /** What a runner does with requests. */
  enum Mood {
    SOUND,
    FULL,
    FAILING,
    ANSWER_LOST,
    CUT,
    /** It runs requests and answers nothing. */
    SILENT,
    /** Nothing reaches it, or only much later; nobody is told. */
    DARK,
    /** It answers after seconds. */
    SLOW,
    /** Its streams last for seconds. */
    LONG
  }

  FakeBackend(String id, String service, boolean engine, int port) {
    this.id = id;
    this.service = service;
    this.engine = engine;
    this.port = port;
  }

  // Orders

  /** Takes an order; tells the oracle of what no node may order. */
  FleetOrderOutcome order(GatewayEffect.GiveOrder order, GatewayOracle oracle, Instant now) {
    settle(now);
    if (order.order().bornMillis() != born) {
      return FleetOrderOutcome.CONFLICT;
    }
    if (order.fence() < fence) {
      return FleetOrderOutcome.FENCED;
    }
    if (order.fence() == fence && !order.holder().equals(holder)) {
      oracle.complain("one-holder", id + " got orders of two holders with number " + fence, now);
    }
    fence = order.fence();
    holder = order.holder();
    if (now.isBefore(busyUntil) || order.order().expected() != orders) {
      return FleetOrderOutcome.CONFLICT;
    }
    orders++;
    return carryOut(order.order().order(), oracle, now);
  }

  private FleetOrderOutcome carryOut(FleetOrder order, GatewayOracle oracle, Instant now) {
    return switch (order) {
      case FleetOrder.LoadModel load -> {
        loading = load.model();
        busyUntil = now.plus(LOAD);
        if (models.size() + 1 > GatewayFuzzPlan.MODELS_THAT_FIT) {
          oracle.complain("memory", id + " is told to hold " + loading + " besides " + models, now);
        }
        yield FleetOrderOutcome.ACCEPTED;
      }
      case FleetOrder.UnloadModel unload -> {
        models.remove(unload.model());
        yield FleetOrderOutcome.ACCEPTED;
      }
      case FleetOrder.LoadAdapter load -> loadAdapter(load, oracle, now);
      case FleetOrder.UnloadAdapter unload -> {
        models.getOrDefault(unload.model(), new TreeSet<>()).remove(unload.adapter());
        yield FleetOrderOutcome.HOLDS;
      }
    };
  }

  private FleetOrderOutcome loadAdapter(
      FleetOrder.LoadAdapter load, GatewayOracle oracle, Instant now) {
    if (!models.containsKey(load.model())) {
      return FleetOrderOutcome.REFUSED;
    }
    models.get(load.model()).add(load.adapter());
    int held = models.values().stream().mapToInt(Set::size).sum();
    if (held > GatewayFuzzPlan.ADAPTER_SLOTS) {
      oracle.complain("memory", id + " is told to hold " + held + " adapters", now);
    }
    return FleetOrderOutcome.HOLDS;
  }

  private void settle(Instant now) {
    if (!loading.isEmpty() && !now.isBefore(busyUntil)) {
      models.put(loading, new TreeSet<>());
      disk.add(loading);
      loading = "";
    }
  }

  RunnerReport report(Instant now) {
    settle(now);
    return new RunnerReport(
        id,
        born,
        orders,
        now.isBefore(busyUntil),
        held(),
        Set.of(),
        Set.of(),
        Set.copyOf(disk),
        0,
        0,
        0);
  }

  RunnerEntry entry(Instant now) {
    settle(now);
    return new RunnerEntry(
        id,
        service,
        "10.1.0.1",
        port,
        "a",
        GatewayFuzzPlan.SLOTS,
        draining,
        born,
        ++written,
        held(),
        Set.of(),
        Set.copyOf(disk));
  }

  private List<LoadedModel> held() {
    List<LoadedModel> held = new ArrayList<>();
    models.forEach((name, adapters) -> held.add(new LoadedModel(name, List.copyOf(adapters))));
    return held;
  }

  // Requests

  boolean holds(String model, String adapter, Instant now) {
    settle(now);
    return !engine
        || (models.containsKey(model)
            && (adapter.isEmpty() || models.get(model).contains(adapter)));
  }

  // Control

  void hold(String model) {
    models.put(model, new TreeSet<>());
    disk.add(model);
  }

  void crash() {
    up = false;
    models.clear();
    loading = "";
    busyUntil = Instant.EPOCH;
  }

  void restart() {
    if (!up) {
      up = true;
      saysLeaving = false;
      pausesUntil = Instant.EPOCH;
      born++;
      orders = 0;
      fence = 0;
      holder = "";
    }
  }

  void drain() {
    draining = true;
  }

  /** Says in its answers from now on that it leaves; its entry goes on to say that it is ready. */
  void sayLeaving() {
    saysLeaving = true;
  }

  /** Turns requests away until a time, and says so. */
  void pauseUntil(Instant until) {
    pausesUntil = until;
  }

  void setMood(Mood newMood) {
    mood = newMood;
  }

  // Accessors

  String id() {
    return id;
  }

  boolean isUp() {
    return up;
  }

  long born() {
    return born;
  }

  /** Returns what it says of itself in an answer to a request. */
  List<RunnerWord> words(Instant now) {
    List<RunnerWord> words = new ArrayList<>();
    if (saysLeaving) {
      words.add(new RunnerWord.Leaves());
    }
    if (isPausing(now)) {
      long millis = Duration.between(now, pausesUntil).toMillis();
      words.add(new RunnerWord.Pauses(BigDecimal.valueOf(millis, 3).toPlainString()));
    }
    return words;
  }

  boolean isPausing(Instant now) {
    return now.isBefore(pausesUntil);
  }

  Mood mood() {
    return mood;
  }
}
