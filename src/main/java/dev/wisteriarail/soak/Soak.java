package dev.wisteriarail.soak;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.standin.Faults;
import dev.wisteriarail.standin.RunnerStandin;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;

/**
 * One soak test: runs node processes under continuous load, carries out the disturbances of a
 * seeded plan, which may overlap, and checks the outcomes at the end.
 *
 * <p>Life cycle: {@link #run} once. The result does not depend on the speed of the machine, because
 * time limits are far longer than a working system needs.
 */
public final class Soak {

  /** Time limit for all nodes to serve again after the last fault. */
  private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(90);

  /** The same limit per node of a large fleet, whose nodes all start on one machine. */
  private static final Duration RECOVERY_LIMIT_PER_NODE = Duration.ofSeconds(3);

  /** Time limit for a process to exit after SIGTERM; the process itself has a limit of seconds. */
  private static final Duration STOP_LIMIT = Duration.ofSeconds(60);

  /** Additional time per node for the disturbances to end, as nodes are also stopped in turn. */
  private static final Duration DISTURBANCE_LIMIT_PER_NODE = Duration.ofSeconds(2);

  /** Retry ratios between which settings files alternate. */
  private static final List<Double> RETRY_RATIOS = List.of(0.1, 0.2);

  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final double LOST_ANSWER_SHARE = 0.3;
  private static final long SLOW_STORE_DELAY_MILLIS = 400;

  /** Time for which a runner is down after a request crashed it. */
  private static final long CRASH_DOWN_MILLIS = 1_000;

  private static final long CRASH_POLL_MILLIS = 5;

  private final SoakFleet fleet;
  private final PrintStream out;
  private final ScheduledThreadPoolExecutor timer;
  private final List<String> routes = new ArrayList<>();
  private final List<String> recordedViolations = new ArrayList<>();

  /** When links opened whose bytes were held, in nanoseconds. */
  private final List<Long> linkOpenings = new CopyOnWriteArrayList<>();

  private volatile boolean ended;
  private SoakCallers callers;

  private Soak(SoakFleet fleet, SoakPlan plan, PrintStream out) {
    this.fleet = fleet;
    this.out = out;
    // A disturbance blocks its thread until it ends, and disturbances overlap.
    timer = new ScheduledThreadPoolExecutor(plan.steps().size() + 1, Thread.ofVirtual().factory());
  }

  /**
   * Runs a soak.
   *
   * @param seed seed of the disturbances and of the callers' requests
   * @param length period in which disturbances start
   * @param nodes number of node processes
   * @param directory directory of the nodes' settings files and log files
   * @param out stream on which each disturbance is printed when it starts
   * @throws SettingsException if a process or a stand-in cannot be started
   */
  public static Report run(long seed, Duration length, int nodes, Path directory, PrintStream out)
      throws SettingsException, InterruptedException {
    SoakPlan plan = SoakPlan.draw(seed, length, nodes, SoakFleet.RUNNER_COUNT);
    return runPlan(seed, plan, length, nodes, directory, out);
  }

  /**
   * Runs a soak with runners that check no fencing numbers, in which the ordering node is cut off.
   *
   * @param seed seed of the disturbances and of the callers' requests
   * @param length period in which disturbances start
   * @param nodes number of node processes
   * @param directory directory of the nodes' settings files and log files
   * @param out stream on which each disturbance is printed when it starts
   * @throws SettingsException if a process or a stand-in cannot be started
   */
  public static Report runWithUncheckedFences(
      long seed, Duration length, int nodes, Path directory, PrintStream out)
      throws SettingsException, InterruptedException {
    SoakPlan plan = SoakPlan.drawWithUncheckedFences(seed, length, nodes, SoakFleet.RUNNER_COUNT);
    return runPlan(seed, plan, length, nodes, directory, out);
  }

  private static Report runPlan(
      long seed, SoakPlan plan, Duration length, int nodes, Path directory, PrintStream out)
      throws SettingsException, InterruptedException {
    try (SoakFleet fleet = SoakFleet.start(nodes, plan, directory)) {
      return new Soak(fleet, plan, out).execute(seed, plan, length);
    }
  }

  private Report execute(long seed, SoakPlan plan, Duration length) throws InterruptedException {
    List<String> addresses =
        fleet.members().stream().map(member -> member.callers().address()).toList();
    callers = SoakCallers.start(seed, addresses);
    if (plan.planType() == SoakPlan.PlanType.CRASHING_REQUESTS) {
      callers.startCrashingCaller(seed, addresses);
      Thread.ofVirtual().start(this::endCrashingRunners);
    }
    awaitRecovery(addresses, "after the start");
    for (SoakPlan.Step step : plan.steps()) {
      ScheduledFuture<?> _ =
          timer.schedule(() -> perform(step), step.at().toMillis(), TimeUnit.MILLISECONDS);
    }
    Thread.sleep(length);
    timer.shutdown();
    Duration limit = STOP_LIMIT.plus(DISTURBANCE_LIMIT_PER_NODE.multipliedBy(addresses.size()));
    if (!timer.awaitTermination(limit.toMillis(), TimeUnit.MILLISECONDS)) {
      addViolation("the disturbances did not end");
    }
    endFaults();
    awaitRecovery(addresses, "after the faults");
    awaitUseOfAddedRunner(addresses);
    final List<SoakCallers.Outcome> outcomes = callers.stop();
    for (SoakFleet.Member member : fleet.members()) {
      member.process().ownExits().forEach(exit -> addViolation("EXIT " + exit));
    }
    ended = true;
    stopAll();
    List<String> violations = new ArrayList<>(recordedViolations);
    violations.addAll(
        SoakOracle.violations(
            outcomes,
            fleet.platform().allRunners(),
            plan.planType(),
            plannedStops(plan.stopLimit()),
            callers.longestStall()));
    if (plan.planType() == SoakPlan.PlanType.UNCHECKED_FENCES) {
      violations.addAll(SoakOracle.checkOrders(orderArrivals(), List.copyOf(linkOpenings)));
    }
    Map<Integer, Integer> statuses = new TreeMap<>();
    outcomes.forEach(outcome -> statuses.merge(outcome.status(), 1, Integer::sum));
    return new Report(
        seed,
        plan.planType(),
        plan.steps().size(),
        statuses,
        SoakOracle.causes(outcomes, fleet.platform().allRunners()),
        callers.longestStall(),
        violations);
  }

  private List<RunnerStandin.OrderArrival> orderArrivals() {
    return fleet.platform().allRunners().stream()
        .flatMap(runner -> runner.orderArrivals().stream())
        .toList();
  }

  private PlannedStops plannedStops(Duration gracePeriod) {
    return new PlannedStops(
        gracePeriod,
        fleet.members().stream()
            .collect(
                Collectors.toMap(
                    member -> member.callers().address(), member -> member.process().stopTimes())));
  }

  private synchronized void addViolation(String violation) {
    recordedViolations.add(violation);
  }

  // Disturbances

  private void perform(SoakPlan.Step step) {
    out.println(step.at().toMillis() + " ms " + step.disturbance());
    try {
      perform(step.disturbance());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (WisteriarailException | RuntimeException failure) {
      LogManager.getLogger(Soak.class).warn("a disturbance failed: {}", step, failure);
      addViolation("the soak could not carry out " + step + ": " + failure);
    }
  }

  private void perform(Disturbance disturbance) throws SettingsException, InterruptedException {
    switch (disturbance) {
      case Disturbance.NodeStopped stopped -> {
        NodeProcess process = process(stopped.node());
        process.terminate();
        awaitExit(process, stopped);
        process.start(Duration.ZERO);
      }
      case Disturbance.NodeKilled killed -> {
        process(killed.node()).kill();
        Thread.sleep(killed.downMillis());
        process(killed.node()).start(Duration.ofMillis(killed.clockOffsetMillis()));
      }
      case Disturbance.AllKilled killed -> {
        for (SoakFleet.Member member : fleet.members()) {
          member.process().kill();
        }
        Thread.sleep(killed.downMillis());
        startAll();
      }
      case Disturbance.NodePaused paused -> {
        process(paused.node()).signal("STOP");
        Thread.sleep(paused.millis());
        process(paused.node()).signal("CONT");
      }
      case Disturbance.SettingsChanged changed -> changeSettings(changed.node());
      case Disturbance.SettingsChangedInStart changed -> {
        NodeProcess process = process(changed.node());
        process.terminate();
        awaitExit(process, changed);
        process.start(Duration.ZERO);
        if (process.awaitEvent(EventCode.NODE_STARTED, RECOVERY_LIMIT)) {
          Thread.sleep(changed.afterMillis());
          changeSettings(changed.node());
        }
      }
      case Disturbance.ConfigurationPublished published -> publish();
      case Disturbance.Burst burst -> {
        for (SoakFleet.Member member : fleet.members()) {
          callers.burst(member.callers().address(), burst.model(), burst.callersOfNode());
        }
      }
      case Disturbance.LinkHarmed harmed -> {
        LoopbackProxy proxy = fleet.proxy(harmed.link(), harmed.index());
        proxy.setState(harmed.state());
        Thread.sleep(harmed.millis());
        proxy.setState(LinkState.OPEN);
      }
      case Disturbance.OrderingNodeCutOff cut -> {
        Optional<Integer> node = orderingNode();
        if (node.isPresent()) {
          fleet.setCutOff(node.get(), true);
          Thread.sleep(cut.millis());
          fleet.setCutOff(node.get(), false);
          linkOpenings.add(System.nanoTime());
        }
      }
      case Disturbance.StoreHarmed harmed -> {
        fleet.platform().store().server().setFaults(faults(harmed.harm()));
        Thread.sleep(harmed.millis());
        fleet.platform().store().server().setFaults(Faults.NONE);
      }
      case Disturbance.StoreCompacted compacted -> fleet.platform().compactTopics();
      case Disturbance.StoreRestored restored -> {
        fleet.platform().store().server().setFaults(Faults.NONE.withDown(true));
        Thread.sleep(restored.awayMillis());
        fleet.platform().store().restore(Duration.ofMillis(restored.copyMillis()));
        fleet.platform().store().server().setFaults(Faults.NONE);
        Thread.sleep(restored.rewriteMillis());
        fleet.platform().republish();
      }
      case Disturbance.RunnerCrashed crashed -> crash(crashed);
      case Disturbance.RunnerLeaves leaves -> {
        announceLeaving(leaves.runner());
        Thread.sleep(leaves.millis());
        crash(new Disturbance.RunnerCrashed(leaves.runner(), leaves.downMillis()));
      }
      case Disturbance.RunnerFallsSilent silent -> {
        setBehaviour(silent.runner(), RunnerStandin.Behaviour.SILENT_FOR_A_SECOND);
        Thread.sleep(silent.millis());
        setBehaviour(silent.runner(), RunnerStandin.Behaviour.SOUND);
      }
      case Disturbance.OddEntryWritten odd -> {
        boolean isNew = odd.runner() == Disturbance.OddEntryWritten.NEW_RUNNER;
        String id = isNew ? "odd-" + odd.entry() : SoakFleet.runnerId(odd.runner());
        fleet.platform().writeOddEntry(id, odd.entry());
        Thread.sleep(odd.millis());
        if (isNew) {
          fleet.platform().removeEntry(id);
        }
      }
      case Disturbance.RunnerMisbehaves bad -> {
        setBehaviour(bad.runner(), bad.behaviour());
        Thread.sleep(bad.millis());
        setBehaviour(bad.runner(), RunnerStandin.Behaviour.SOUND);
      }
    }
  }

  private void changeSettings(int node) throws SettingsException, InterruptedException {
    SoakFleet.Member member = fleet.members().get(node);
    double ratio = RETRY_RATIOS.get(node % RETRY_RATIOS.size());
    member.process().writeSettings(member.settings().withRetryRatio(ratio).toml());
    member.process().signal("HUP");
  }

  /** Returns the node that gave the last order; empty if none was given. */
  private Optional<Integer> orderingNode() {
    return orderArrivals().stream()
        .max(Comparator.comparingLong(RunnerStandin.OrderArrival::nanos))
        .map(order -> Integer.parseInt(order.holder().substring(1)));
  }

  private static Faults faults(Disturbance.StoreHarm harm) {
    return switch (harm) {
      case DOWN -> Faults.NONE.withDown(true);
      case SLOW -> Faults.NONE.withDelay(SLOW_STORE_DELAY_MILLIS);
      case LOSES_ANSWERS -> Faults.NONE.withLostAnswers(LOST_ANSWER_SHARE);
    };
  }

  private synchronized void publish() {
    routes.add("added-" + routes.size());
    fleet.platform().publish(routes);
  }

  private void crash(Disturbance.RunnerCrashed crashed)
      throws SettingsException, InterruptedException {
    synchronized (this) {
      if (!fleet.isRunning(crashed.runner())) {
        return;
      }
      fleet.crashRunner(crashed.runner());
    }
    Thread.sleep(crashed.downMillis());
    fleet.restartRunner(crashed.runner());
  }

  /** Ends and restarts runners that a request crashes, until the soak ends. */
  private void endCrashingRunners() {
    try {
      while (!ended) {
        for (int i = 0; i < SoakFleet.ENGINE_COUNT; i++) {
          if (fleet.isRunning(i) && fleet.platform().runner(SoakFleet.runnerId(i)).isCrashing()) {
            Disturbance crash = new Disturbance.RunnerCrashed(i, CRASH_DOWN_MILLIS);
            Thread.ofVirtual().start(() -> perform(new SoakPlan.Step(Duration.ZERO, crash)));
          }
        }
        Thread.sleep(CRASH_POLL_MILLIS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void setBehaviour(int runner, RunnerStandin.Behaviour behaviour) {
    if (fleet.isRunning(runner)) {
      fleet.platform().runner(SoakFleet.runnerId(runner)).setBehaviour(behaviour);
    }
  }

  private synchronized void announceLeaving(int runner) {
    if (fleet.isRunning(runner)) {
      fleet.platform().runner(SoakFleet.runnerId(runner)).announceLeaving();
    }
  }

  private NodeProcess process(int node) {
    return fleet.members().get(node).process();
  }

  private void awaitExit(NodeProcess process, Object cause) throws InterruptedException {
    if (!process.awaitExit(STOP_LIMIT)) {
      addViolation("STOP a process did not end after " + cause);
      process.kill();
    }
  }

  private void startAll() throws SettingsException {
    for (SoakFleet.Member member : fleet.members()) {
      member.process().start(Duration.ZERO);
    }
  }

  // Recovery and end

  private void endFaults() {
    fleet.openLinks();
    fleet.platform().store().server().setFaults(Faults.NONE);
    for (int i = 0; i < SoakFleet.RUNNER_COUNT; i++) {
      setBehaviour(i, RunnerStandin.Behaviour.SOUND);
    }
    try {
      for (SoakFleet.Member member : fleet.members()) {
        member.process().signal("CONT");
      }
      startAll();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (SettingsException failure) {
      addViolation("a node could not be started: " + failure.describe());
    }
  }

  /** Waits until each node serves each kind of request; records the first one that does not. */
  private void awaitRecovery(List<String> addresses, String phase) throws InterruptedException {
    long fleetLimitNanos = RECOVERY_LIMIT_PER_NODE.multipliedBy(addresses.size()).toNanos();
    long deadlineNanos = System.nanoTime() + Math.max(RECOVERY_LIMIT.toNanos(), fleetLimitNanos);
    for (String address : addresses) {
      for (SoakCallers.Kind kind : SoakCallers.Kind.values()) {
        while (callers.send(address, kind, 0).status() != 200) {
          if (System.nanoTime() > deadlineNanos) {
            addViolation("RECOVER " + address + " does not serve " + kind + " " + phase);
            return;
          }
          Thread.sleep(POLL_INTERVAL);
        }
      }
    }
  }

  /** Adds a runner and waits until the nodes send requests to it. */
  private void awaitUseOfAddedRunner(List<String> addresses) throws InterruptedException {
    RunnerStandin added;
    try {
      added = fleet.platform().addPlainRunner("plain-added");
    } catch (SettingsException failure) {
      addViolation("a runner could not be added: " + failure.describe());
      return;
    }
    long deadlineNanos = System.nanoTime() + RECOVERY_LIMIT.toNanos();
    while (added.executedRequests().isEmpty()) {
      if (System.nanoTime() > deadlineNanos) {
        addViolation("RECOVER no node uses a runner that was added");
        return;
      }
      for (String address : addresses) {
        callers.send(address, SoakCallers.Kind.LOOKUP, 0);
      }
    }
  }

  private void stopAll() throws InterruptedException {
    fleet.members().forEach(member -> member.process().terminate());
    for (SoakFleet.Member member : fleet.members()) {
      awaitExit(member.process(), "the end of the soak");
    }
  }

  /**
   * The result of a soak.
   *
   * @param seed the seed of the plan
   * @param planType which kinds of disturbances the plan allowed
   * @param disturbances number of disturbances
   * @param statuses number of requests by status of the answer; 0 for no complete answer
   * @param causes number of requests without a complete answer, by cause
   * @param stall longest stall of the callers' process
   * @param violations the broken promises, one line each
   */
  public record Report(
      long seed,
      SoakPlan.PlanType planType,
      int disturbances,
      Map<Integer, Integer> statuses,
      Map<String, Integer> causes,
      Duration stall,
      List<String> violations) {

    /** Copies the collections. */
    public Report {
      statuses = Map.copyOf(statuses);
      causes = Map.copyOf(causes);
      violations = List.copyOf(violations);
    }

    /** Returns the report as one line, followed by a line for each violation. */
    public String describe() {
      String head =
          ("seed %d (%s): %d disturbances, requests by status %s, "
                  + "without answer by cause %s, late by %d ms, %d violations")
              .formatted(
                  seed,
                  planType,
                  disturbances,
                  new TreeMap<>(statuses),
                  new TreeMap<>(causes),
                  stall.toMillis(),
                  violations.size());
      return violations.isEmpty() ? head : head + "\n  " + String.join("\n  ", violations);
    }
  }
}
