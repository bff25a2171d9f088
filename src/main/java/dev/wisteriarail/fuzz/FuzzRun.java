package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Executes a plan: requests and faults, then recovery, then probes. Not thread-safe. */
public final class FuzzRun {

  private static final Duration TICK = Duration.ofMillis(250);

  /** Virtual time between checks whether a run can stop early. */
  private static final Duration STOP_CHECK_INTERVAL = Duration.ofMillis(500);

  /** Virtual time that the fleet has to recover after the last fault. */
  private static final Duration RECOVERY_PERIOD = Duration.ofSeconds(45);

  /** Virtual time in which probes must be served. */
  private static final Duration PROBE_PERIOD = Duration.ofSeconds(40);

  private final Plan plan;
  private final Optional<String> stopAt;
  private final World world;
  private final Fleet fleet;

  private FuzzRun(Plan plan, Defect defect, Optional<String> stopAt) {
    this.stopAt = stopAt;
    this.plan = plan;
    world = World.create(plan.seed());
    fleet = Fleet.create(world, plan.nodes(), defect);
  }

  /** Returns the plan of a seed with the given number of actions. */
  public static Plan plan(long seed, int steps) {
    return PlanGenerator.generate(seed, steps);
  }

  /** Returns the plan of a seed without faults. */
  public static Plan faultFreePlan(long seed, int steps) {
    return PlanGenerator.generateFaultFree(seed, steps);
  }

  /** Executes a plan. */
  public static RunResult execute(Plan plan, Defect defect) {
    return new FuzzRun(plan, defect, Optional.empty()).run();
  }

  /** Executes a plan until a check reports a violation, or to its end. */
  static RunResult executeUntil(String check, Plan plan, Defect defect) {
    return new FuzzRun(plan, defect, Optional.of(check)).run();
  }

  private RunResult run() {
    if (!plan.randomFaults()) {
      world.endFaults();
    }
    final Instant start = world.now();
    final Instant healed = start.plus(plan.length());
    fleet.start();
    for (Plan.Planned planned : plan.actions()) {
      world.at(start.plus(planned.at()), () -> fleet.perform(planned.action()));
    }
    world.after(TICK, this::tick);
    runUntil(healed);
    if (!isStopped()) {
      recover(healed);
    }
    return new RunResult(
        plan,
        world.history().finish(),
        world.history().size(),
        world.faults(),
        fleet.callers().outcomes(),
        world.oracle().violations(),
        world.history().notable());
  }

  private void recover(Instant healed) {
    fleet.heal();
    Instant recovered = healed.plus(RECOVERY_PERIOD);
    runUntil(recovered);
    world.observe(new Observation.RecoveryOver());
    if (isStopped()) {
      return;
    }
    probe();
    runUntil(recovered.plus(PROBE_PERIOD));
    if (isStopped()) {
      return;
    }
    fleet.observeStatus();
    world.observe(new Observation.RunEnded());
  }

  private void runUntil(Instant end) {
    while (world.now().isBefore(end) && !isStopped()) {
      Instant next = world.now().plus(STOP_CHECK_INTERVAL);
      world.runUntil(next.isBefore(end) ? next : end);
    }
  }

  private boolean isStopped() {
    return stopAt.isPresent()
        && world.oracle().violations().stream()
            .anyMatch(violation -> violation.check().equals(stopAt.get()));
  }

  private void tick() {
    world.observe(new Observation.Tick());
    fleet.observeStatus();
    world.after(TICK, this::tick);
  }

  /** Sends one request for each model, to the nodes in turn. */
  private void probe() {
    int sequence = 0;
    for (int team = 0; team < Deployment.TEAMS; team++) {
      for (int model = 0; model < Deployment.MODELS_PER_TEAM; model++) {
        sequence++;
        Action.Send send =
            new Action.Send(
                "probe" + sequence,
                sequence,
                Deployment.customer(team),
                Deployment.URGENT.id(),
                new Target.ModelTarget(Deployment.model(team, model), Optional.empty()),
                Optional.empty(),
                3,
                false,
                Optional.empty());
        world.after(Duration.ofSeconds(sequence * 2L), () -> sendProbe(send));
      }
    }
  }

  private void sendProbe(Action.Send send) {
    RequestId request = fleet.callers().send(send);
    world.observe(new Observation.ProbeSent(request));
  }
}
