package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.DemandKey;
import dev.wisteriarail.core.fleet.LoadedModel;
import dev.wisteriarail.core.fleet.ModelForecast;
import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.fleet.RunnerView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What one node knows of the runners when it chooses one: the directory, the coordinator's views,
 * its own requests in flight, and how they ended.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunnerStateTable {

  private final RunnerDirectory directory;
  private final Map<String, RunnerView> views = new HashMap<>();
  private final Map<DemandKey, ModelForecast> forecasts = new HashMap<>();
  private final Map<UseKey, Integer> running = new TreeMap<>();
  private final Map<String, Integer> ownRunning = new HashMap<>();
  private final Map<String, Long> ownTokens = new HashMap<>();
  private final Map<String, Integer> reportedRunning = new HashMap<>();
  private final Map<String, RunnerHealth> health = new HashMap<>();
  private final RunnerPauses pauses = RunnerPauses.create();
  private long viewRevision;
  private Instant forecastsReceivedAt = Instant.MIN;
  private RunnerIndex index = RunnerIndex.EMPTY;
  private long indexedChanges = -1;

  private RunnerStateTable(RunnerDirectory directory) {
    this.directory = directory;
  }

  /** Returns a board over a directory. */
  public static RunnerStateTable create(RunnerDirectory directory) {
    return new RunnerStateTable(directory);
  }

  // News

  /** Takes the coordinator's views. */
  public void accept(List<RunnerView> newViews, List<ModelForecast> newForecasts, Instant now) {
    for (RunnerView view : newViews) {
      RunnerView current = views.get(view.runner());
      if (current == null || view.revision() > current.revision()) {
        views.put(view.runner(), view);
        if (current == null || !current.models().equals(view.models())) {
          indexedChanges = -1;
        }
      }
      viewRevision = Math.max(viewRevision, view.revision());
    }
    forecasts.clear();
    newForecasts.forEach(each -> forecasts.put(each.key(), each));
    forecastsReceivedAt = now;
  }

  /** Forgets runners that are gone, and pauses that are over. */
  public void advance(Instant now) {
    pauses.advance(now);
    views.keySet().removeIf(id -> directory.usable(id).isEmpty());
    health.keySet().removeIf(id -> directory.usable(id).isEmpty() && !ownRunning.containsKey(id));
  }

  /** Notes a request that is handed to a runner. */
  public void requestSent(String runner, String model, String adapter, long tokens) {
    running.merge(new UseKey(runner, model, adapter), 1, Integer::sum);
    ownRunning.merge(runner, 1, Integer::sum);
    ownTokens.merge(runner, tokens, Long::sum);
    health(runner).recordSend();
  }

  /** Notes that a request left a runner. */
  public void requestEnded(String runner, String model, String adapter, long tokens) {
    UseKey use = new UseKey(runner, model, adapter);
    running.computeIfPresent(use, (key, count) -> count > 1 ? count - 1 : null);
    ownRunning.computeIfPresent(runner, (key, count) -> count > 1 ? count - 1 : null);
    ownTokens.computeIfPresent(runner, (key, sum) -> sum > tokens ? sum - tokens : null);
  }

  /** Notes that a runner wants nothing from this node for a while. */
  public void pause(RunnerRun runner, Duration length, Instant now) {
    pauses.add(runner, length, now);
  }

  /** Notes that a runner said that it lacks a model or adapter that a view names. */
  public void markMissing(String runner, String model, String adapter) {
    RunnerView view = views.get(runner);
    if (view == null) {
      return;
    }
    List<LoadedModel> models = new ArrayList<>();
    for (LoadedModel held : view.models()) {
      if (!held.name().equals(model)) {
        models.add(held);
      } else if (!adapter.isEmpty()) {
        models.add(
            new LoadedModel(
                model, held.adapters().stream().filter(each -> !each.equals(adapter)).toList()));
      }
    }
    views.put(
        runner,
        new RunnerView(
            runner,
            view.bornMillis(),
            view.revision(),
            models,
            view.loading(),
            view.readyInMillis(),
            view.running(),
            view.tokens()));
    indexedChanges = -1;
  }

  /** Returns where this node's requests run, and notes that the coordinator is told. */
  public List<RunnerUse> collectUses() {
    reportedRunning.clear();
    reportedRunning.putAll(ownRunning);
    List<RunnerUse> uses = new ArrayList<>();
    running.forEach(
        (use, count) ->
            uses.add(
                new RunnerUse(
                    use.runner(),
                    use.model(),
                    use.adapter(),
                    count,
                    ownTokens.getOrDefault(use.runner(), 0L)
                        * count
                        / Math.max(1, ownRunning.getOrDefault(use.runner(), 1)))));
    return uses;
  }

  // Accessors

  /** Returns the health of a runner. */
  public RunnerHealth health(String runner) {
    return health.computeIfAbsent(runner, id -> RunnerHealth.create());
  }

  /** Returns how long a runner wants nothing from this node; zero if it may be sent to now. */
  public Duration remainingPause(RunnerEntry entry, Instant now) {
    return pauses.remaining(RunnerRun.of(entry), now);
  }

  /** Returns whether a runner may be sent to: it wants that, and requests did not fail on it. */
  public boolean isAvailable(RunnerEntry entry, Instant now) {
    return remainingPause(entry, now).isZero() && health(entry.id()).isAvailable(now);
  }

  /** Returns the runners of a service that may get requests, as far as the directory says. */
  public List<RunnerEntry> usable(String service) {
    return index().ofService(service);
  }

  /**
   * Returns the runners that may get requests and hold a model, and the adapter unless it is empty.
   * Without a model these are all runners of the service.
   */
  public List<RunnerEntry> holders(String service, String model, String adapter) {
    if (model.isEmpty()) {
      return usable(service);
    }
    List<RunnerEntry> holders = index().holders(service, model);
    return adapter.isEmpty()
        ? holders
        : holders.stream().filter(entry -> holds(entry, model, adapter)).toList();
  }

  private RunnerIndex index() {
    if (directory.changeCount() != indexedChanges) {
      index = RunnerIndex.of(directory.usable(), this::models);
      indexedChanges = directory.changeCount();
    }
    return index;
  }

  /** Returns whether a runner holds a model, and the adapter unless it is empty. */
  public boolean holds(RunnerEntry entry, String model, String adapter) {
    for (LoadedModel held : models(entry)) {
      if (held.name().equals(model)) {
        return adapter.isEmpty() || held.adapters().contains(adapter);
      }
    }
    return false;
  }

  private List<LoadedModel> models(RunnerEntry entry) {
    return view(entry).map(RunnerView::models).orElse(entry.models());
  }

  private Optional<RunnerView> view(RunnerEntry entry) {
    return Optional.ofNullable(views.get(entry.id()))
        .filter(view -> view.bornMillis() == entry.bornMillis());
  }

  /** Returns the requests of this node on a runner. */
  public int ownRunning(String runner) {
    return ownRunning.getOrDefault(runner, 0);
  }

  /** Returns the requests of all nodes on a runner, as well as this node can tell. */
  public int totalRunning(RunnerEntry entry) {
    int others =
        view(entry).map(RunnerView::running).orElse(0)
            - reportedRunning.getOrDefault(entry.id(), 0);
    return ownRunning(entry.id()) + Math.max(0, others);
  }

  /** Returns the tokens of all requests on a runner, as well as this node can tell. */
  public long totalTokens(RunnerEntry entry) {
    return Math.max(
        ownTokens.getOrDefault(entry.id(), 0L), view(entry).map(RunnerView::tokens).orElse(0L));
  }

  /**
   * Returns when the coordinator expects a model, and the adapter unless it is empty, to be ready;
   * empty if it said nothing lately.
   */
  public Optional<Duration> forecast(String service, String model, String adapter, Instant now) {
    return Stream.of(DemandKey.of(service, model), new DemandKey(service, model, adapter))
        .flatMap(key -> Stream.ofNullable(forecasts.get(key)))
        .map(ModelForecast::startsInMillis)
        .filter(startsIn -> startsIn != ModelForecast.UNPLANNED)
        .max(Comparator.naturalOrder())
        .map(
            startsIn ->
                Duration.ofMillis(startsIn).minus(Duration.between(forecastsReceivedAt, now)))
        .map(remaining -> remaining.isNegative() ? Duration.ZERO : remaining);
  }

  /** Returns the newest revision of a view. */
  public long viewRevision() {
    return viewRevision;
  }

  private record UseKey(String runner, String model, String adapter) implements Comparable<UseKey> {

    @Override
    public int compareTo(UseKey other) {
      int order = runner.compareTo(other.runner);
      order = order == 0 ? model.compareTo(other.model) : order;
      return order == 0 ? adapter.compareTo(other.adapter) : order;
    }
  }
}
