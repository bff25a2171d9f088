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
 * State of the runners as known to one node when it selects a runner: the directory, the views
 * published by the coordinator, this node's requests in flight, and the results of its requests.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunnerStateTable {

  /** Age of figures that have never been received. */
  private static final Duration MAX_AGE = Duration.ofDays(1);

  /** Weight of the newest observation in the usual pace, which covers all runners. */
  private static final double USUAL_PACE_WEIGHT = 0.02;

  private final RunnerDirectory directory;
  private final Map<String, RunnerView> views = new HashMap<>();
  private final Map<DemandKey, ModelForecast> forecasts = new HashMap<>();
  private final Map<UseKey, Integer> running = new TreeMap<>();
  private final Map<String, Integer> ownRunning = new HashMap<>();
  private final Map<String, Long> ownTokens = new HashMap<>();
  private final Map<String, Integer> reportedRunning = new HashMap<>();
  private final Map<String, RunnerHealth> health = new HashMap<>();
  private final RunnerPauses pauses = RunnerPauses.create();
  private final Map<String, RunnerLoad> loads = new HashMap<>();
  private Instant viewsReceivedAt = Instant.MIN;
  private Instant reportedAt = Instant.MIN;
  private double usualPace;
  private long viewRevision;
  private Instant forecastsReceivedAt = Instant.MIN;
  private RunnerIndex index = RunnerIndex.EMPTY;
  private long indexedChanges = -1;

  private RunnerStateTable(RunnerDirectory directory) {
    this.directory = directory;
  }

  /** Creates a table for the runners of a directory. */
  public static RunnerStateTable create(RunnerDirectory directory) {
    return new RunnerStateTable(directory);
  }

  // Updates

  /** Applies views and forecasts from the coordinator. The forecasts replace the earlier ones. */
  public void accept(List<RunnerView> newViews, List<ModelForecast> newForecasts, Instant now) {
    for (RunnerView view : newViews) {
      RunnerView current = views.get(view.runner());
      if (current == null || view.revision() > current.revision()) {
        views.put(view.runner(), view);
        RunnerLoad load = loads.get(view.runner());
        if (load != null && load.bornMillis() == view.bornMillis()) {
          load.accept(view, age(reportedAt, now));
        }
        if (current == null || !current.models().equals(view.models())) {
          indexedChanges = -1;
        }
      }
      viewRevision = Math.max(viewRevision, view.revision());
    }
    forecasts.clear();
    newForecasts.forEach(each -> forecasts.put(each.key(), each));
    forecastsReceivedAt = now;
    viewsReceivedAt = now;
  }

  /** Removes the state of runners that are gone and pauses that have ended. */
  public void advance(Instant now) {
    pauses.advance(now);
    views.keySet().removeIf(id -> directory.usable(id).isEmpty());
    health.keySet().removeIf(id -> directory.usable(id).isEmpty() && !ownRunning.containsKey(id));
    loads.keySet().removeIf(id -> directory.usable(id).isEmpty());
  }

  /** Records that a request is sent to a runner. */
  public void requestSent(String runner, String model, String adapter, long tokens) {
    running.merge(new UseKey(runner, model, adapter), 1, Integer::sum);
    ownRunning.merge(runner, 1, Integer::sum);
    ownTokens.merge(runner, tokens, Long::sum);
    health(runner).recordSend();
  }

  /** Records that a request is no longer at a runner. */
  public void requestEnded(String runner, String model, String adapter, long tokens) {
    UseKey use = new UseKey(runner, model, adapter);
    running.computeIfPresent(use, (key, count) -> count > 1 ? count - 1 : null);
    ownRunning.computeIfPresent(runner, (key, count) -> count > 1 ? count - 1 : null);
    ownTokens.computeIfPresent(runner, (key, sum) -> sum > tokens ? sum - tokens : null);
  }

  /** Records that a runner rejected a request of this node because it was full. */
  public void recordRejection(RunnerEntry runner, Instant now) {
    observed(runner).ifPresent(load -> load.recordRejection(now));
  }

  /** Records that a runner accepted a request of this node. */
  public void recordAcceptance(RunnerEntry runner) {
    observed(runner).ifPresent(RunnerLoad::recordAcceptance);
  }

  /**
   * Records that the first event of a stream arrived.
   *
   * @param promptTokens number of tokens of the prompt
   * @param elapsed time since the request was sent
   */
  public void recordFirstEvent(RunnerEntry runner, int promptTokens, Duration elapsed) {
    double ratio =
        Math.min(
            RunnerLoad.MAX_RATIO, elapsed.toMillis() / RunnerLoad.expectedMillis(promptTokens));
    usualPace = usualPace == 0 ? ratio : usualPace + USUAL_PACE_WEIGHT * (ratio - usualPace);
    observed(runner).ifPresent(load -> load.recordPace(ratio));
  }

  /** Returns what was observed of a run of a runner unless a later run has been seen. */
  private Optional<RunnerLoad> observed(RunnerEntry entry) {
    return Optional.ofNullable(loads.get(entry.id()))
        .filter(load -> load.bornMillis() == entry.bornMillis());
  }

  /** Records that a runner accepts no requests from this node for a while. */
  public void pause(RunnerRun runner, Duration length, Instant now) {
    pauses.add(runner, length, now);
  }

  /** Records that a runner reported that it lacks a model or adapter which its view contains. */
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

  /**
   * Returns this node's requests at runners, and records that they are reported to the coordinator.
   */
  public List<RunnerUse> collectUses(Instant now) {
    reportedRunning.clear();
    reportedRunning.putAll(ownRunning);
    reportedAt = now;
    loads.forEach((id, load) -> load.recordReport(ownRunning(id)));
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

  /** Returns how long a runner accepts no requests from this node; zero if it accepts them now. */
  public Duration remainingPause(RunnerEntry entry, Instant now) {
    return pauses.remaining(RunnerRun.of(entry), now);
  }

  /**
   * Returns whether requests may be sent to a runner: it has not asked for a pause and is not
   * ejected.
   */
  public boolean isAvailable(RunnerEntry entry, Instant now) {
    return remainingPause(entry, now).isZero() && health(entry.id()).isAvailable(now);
  }

  /** Returns the runners of a service that may get requests according to the directory. */
  public List<RunnerEntry> usable(String service) {
    return index().ofService(service);
  }

  /**
   * Returns the runners that may get requests and hold a model and, unless it is empty, an adapter.
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

  /** Returns whether a runner holds a model and, unless it is empty, an adapter. */
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

  /** Returns what this node has observed of the load and the pace of a run of a runner. */
  public RunnerLoad load(RunnerEntry entry, Instant now) {
    RunnerLoad load = loads.get(entry.id());
    if (load == null || load.bornMillis() != entry.bornMillis()) {
      load = RunnerLoad.create(entry.bornMillis(), now);
      loads.put(entry.id(), load);
      RunnerView view = views.get(entry.id());
      if (view != null && view.bornMillis() == entry.bornMillis()) {
        load.accept(view, Duration.ZERO);
      }
    }
    return load;
  }

  /** Returns the time since the newest message with views; long if there was none. */
  public Duration viewAge(Instant now) {
    return age(viewsReceivedAt, now);
  }

  private static Duration age(Instant then, Instant now) {
    return then.equals(Instant.MIN) ? MAX_AGE : Duration.between(then, now);
  }

  /** Returns the usual ratio of the observed to the expected time to the first event. */
  public double usualPace() {
    return usualPace;
  }

  /** Returns the number of requests of this node at a runner. */
  public int ownRunning(String runner) {
    return ownRunning.getOrDefault(runner, 0);
  }

  /** Returns the number of requests of all nodes at a runner, as far as this node knows. */
  public int totalRunning(RunnerEntry entry) {
    int others =
        view(entry).map(RunnerView::running).orElse(0)
            - reportedRunning.getOrDefault(entry.id(), 0);
    return ownRunning(entry.id()) + Math.max(0, others);
  }

  /** Returns the tokens of all requests at a runner, as far as this node knows. */
  public long totalTokens(RunnerEntry entry) {
    return Math.max(
        ownTokens.getOrDefault(entry.id(), 0L), view(entry).map(RunnerView::tokens).orElse(0L));
  }

  /**
   * Returns the time until the coordinator expects a model and, unless it is empty, an adapter to
   * be ready; empty if there is no forecast.
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

  /** Returns the revision of the newest view. */
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
