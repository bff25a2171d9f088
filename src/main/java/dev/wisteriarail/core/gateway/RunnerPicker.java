package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.FleetPosition;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.EvenChoice;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.forward.RunnerLoad;
import dev.wisteriarail.core.forward.RunnerScoring;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.forward.SessionAffinity;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import dev.wisteriarail.core.route.ServiceShare;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Collects the runners that could serve a request and selects one by {@link RunnerScoring}.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class RunnerPicker {

  private final String domain;
  private final LoadBalance balance;
  private final Supplier<FleetPosition> position;
  private final RunnerStateTable runnerStates;
  private final EvenChoice evenChoice = EvenChoice.create();
  private final List<RunnerEntry> evenEntries = new ArrayList<>();
  private RunnerChoice lastChoice = RunnerChoice.NONE;
  private final SessionAffinity sessions = SessionAffinity.create();

  private RunnerPicker(
      String domain,
      LoadBalance balance,
      Supplier<FleetPosition> position,
      RunnerStateTable runnerStates) {
    this.domain = domain;
    this.balance = balance;
    this.position = position;
    this.runnerStates = runnerStates;
  }

  static RunnerPicker create(
      String domain,
      LoadBalance balance,
      Supplier<FleetPosition> position,
      RunnerStateTable runnerStates) {
    return new RunnerPicker(domain, balance, position, runnerStates);
  }

  /**
   * Selects the service of a request, distributing the route's requests by the weights of its
   * services.
   */
  static String chooseService(RouteSpec route, ForwardRequest request) {
    List<ServiceShare> shares =
        route.shares().stream().filter(share -> share.weight() > 0).toList();
    if (shares.size() <= 1) {
      return (shares.isEmpty() ? route.shares().getFirst() : shares.getFirst()).service();
    }
    int total = shares.stream().mapToInt(ServiceShare::weight).sum();
    int point = Math.floorMod(request.id().hashCode() * 0x9E3779B1, total);
    for (ServiceShare share : shares) {
      point -= share.weight();
      if (point < 0) {
        return share.service();
      }
    }
    return shares.getLast().service();
  }

  /** Records that a request of a session is sent to a runner. */
  void recordSession(PendingForward forward, RunnerEntry runner) {
    forward
        .request()
        .session()
        .ifPresent(session -> sessions.assign(forward.model(), session, runner.id()));
  }

  /**
   * Returns the runner to send the request to now, or empty if the request has to wait.
   *
   * @param avoided returns whether a runner is not to be used for this request
   * @param limit returns how many requests an engine with the given slots may have
   */
  Optional<RunnerEntry> choose(
      PendingForward forward,
      GatewayConfiguration configuration,
      Predicate<String> avoided,
      IntUnaryOperator limit,
      Instant now) {
    Optional<EngineSpec> engine = configuration.engineOf(forward.service());
    FleetPosition place = position.get();
    boolean even = balance.isEven(engine.isPresent(), place.large());
    Optional<Integer> engineLimit = engine.map(spec -> limit.applyAsInt(spec.slots()));
    List<RunnerScoring.Candidate> candidates = new ArrayList<>();
    Map<String, RunnerEntry> entries = new HashMap<>();
    evenChoice.clear();
    evenEntries.clear();
    boolean mayHaveRunBefore = !forward.runnersThatMayHaveRun().isEmpty();
    Optional<String> sessionRunner =
        forward.request().session().flatMap(session -> sessions.runner(forward.model(), session));
    for (RunnerEntry entry : holders(forward, engine.isPresent())) {
      boolean eligible =
          runnerStates.isAvailable(entry, now)
              && !avoided.test(entry.id())
              && !(mayHaveRunBefore && forward.runnersThatMayHaveRun().contains(entry.id()))
              && engine
                  .map(
                      spec ->
                          runnerStates.totalTokens(entry) + forward.tokens() <= spec.cacheTokens())
                  .orElse(true);
      if (!eligible) {
        continue;
      }
      RunnerScoring.Candidate candidate =
          new RunnerScoring.Candidate(
              entry.id(),
              runnerStates.totalRunning(entry),
              engineLimit.orElse(Math.max(1, entry.slots())),
              entry.domain().equals(domain),
              sessionRunner.filter(entry.id()::equals).isPresent(),
              runnerStates.health(entry.id()).failureRate());
      if (even) {
        addEvenly(entry, candidate, now);
      } else {
        entries.put(entry.id(), entry);
        candidates.add(candidate);
      }
    }
    return even
        ? chooseEvenly(forward, place, now)
        : chooseLeast(forward, candidates, entries, now);
  }

  private Optional<RunnerEntry> chooseLeast(
      PendingForward forward,
      List<RunnerScoring.Candidate> candidates,
      Map<String, RunnerEntry> entries,
      Instant now) {
    Optional<RunnerScoring.Candidate> best =
        RunnerScoring.best(candidates, forward.request().fingerprint() + forward.exchange());
    best.ifPresent(
        candidate ->
            lastChoice =
                new RunnerChoice(
                    EvenChoice.Basis.LEAST,
                    candidate.running(),
                    candidates.size(),
                    runnerStates.viewAge(now).toMillis()));
    return best.map(candidate -> entries.get(candidate.runner()));
  }

  private void addEvenly(RunnerEntry entry, RunnerScoring.Candidate candidate, Instant now) {
    RunnerLoad load = runnerStates.load(entry, now);
    if (!load.isFull(now)) {
      evenEntries.add(entry);
      evenChoice.add(
          candidate,
          load,
          runnerStates.ownRunning(entry.id()),
          runnerStates.usualPace(),
          load.ramp(now));
    }
  }

  private Optional<RunnerEntry> chooseEvenly(
      PendingForward forward, FleetPosition place, Instant now) {
    long seed =
        forward.request().fingerprint()
            + 1_000_003 * forward.exchange()
            + 7_919L * forward.attempts();
    long ageMillis = runnerStates.viewAge(now).toMillis();
    int chosen = evenChoice.choose(seed, ageMillis, place);
    if (chosen < 0) {
      return Optional.empty();
    }
    lastChoice =
        new RunnerChoice(
            evenChoice.basis(), evenChoice.expectedRunning(chosen), evenEntries.size(), ageMillis);
    return Optional.of(evenEntries.get(chosen));
  }

  /** Returns the reasons of the last choice. */
  RunnerChoice lastChoice() {
    return lastChoice;
  }

  /**
   * Returns the most tokens for which an engine has room that may have one more request; 0 if there
   * is none.
   */
  long room(
      PendingForward forward,
      GatewayConfiguration configuration,
      Predicate<String> avoided,
      IntUnaryOperator limit,
      Instant now) {
    Optional<EngineSpec> engine = configuration.engineOf(forward.service());
    if (engine.isEmpty()) {
      return 0;
    }
    int engineLimit = limit.applyAsInt(engine.get().slots());
    long room = 0;
    for (RunnerEntry entry : holders(forward, true)) {
      if (runnerStates.totalRunning(entry) < engineLimit
          && runnerStates.isAvailable(entry, now)
          && !avoided.test(entry.id())) {
        room = Math.max(room, engine.get().cacheTokens() - runnerStates.totalTokens(entry));
      }
    }
    return room;
  }

  /** Returns whether the request could be served by a runner that cannot have executed it yet. */
  boolean hasAlternative(PendingForward forward, Instant now) {
    return holders(forward, true).stream()
        .anyMatch(
            entry ->
                !forward.runnersThatMayHaveRun().contains(entry.id())
                    && runnerStates.isAvailable(entry, now));
  }

  private List<RunnerEntry> holders(PendingForward forward, boolean engine) {
    return engine
        ? runnerStates.holders(forward.service(), forward.model(), forward.adapter())
        : runnerStates.usable(forward.service());
  }
}
