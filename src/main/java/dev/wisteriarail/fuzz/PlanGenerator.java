package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Generates random plans of requests, bursts and faults. Not thread-safe. */
final class PlanGenerator {

  private static final int MIN_NODES = 3;
  private static final int MAX_NODES = 9;
  private static final Duration WARM_UP = Duration.ofSeconds(2);
  private static final double STEP_MILLIS = 120;
  private static final double FAULT_SHARE = 0.22;
  private static final int MAX_BURST = 12;

  private final SeededRandom random;
  private final double faultShare;
  private final List<Plan.Planned> actions = new ArrayList<>();
  private int sequence;

  private PlanGenerator(SeededRandom random, double faultShare) {
    this.random = random;
    this.faultShare = faultShare;
  }

  /**
   * Returns the plan of a seed.
   *
   * @param steps number of actions
   */
  static Plan generate(long seed, int steps) {
    return new PlanGenerator(SeededRandom.of(seed, "plan"), FAULT_SHARE).draw(seed, steps);
  }

  /** Returns the plan of a seed without faults. */
  static Plan generateFaultFree(long seed, int steps) {
    return new PlanGenerator(SeededRandom.of(seed, "plan"), 0).draw(seed, steps);
  }

  private Plan draw(long seed, int steps) {
    int nodes = MIN_NODES + random.nextInt(MAX_NODES - MIN_NODES + 1);
    Duration at = WARM_UP;
    while (actions.size() < steps) {
      at = at.plus(random.nextDuration(0, 2 * STEP_MILLIS));
      if (random.nextBoolean(faultShare)) {
        add(at, drawFault());
      } else {
        drawRequests(at);
      }
    }
    actions.sort(Comparator.comparing(Plan.Planned::at));
    return new Plan(seed, nodes, faultShare > 0, at.plus(Duration.ofSeconds(1)), actions);
  }

  // Requests

  private void drawRequests(Duration at) {
    int team = random.nextInt(Deployment.TEAMS);
    double choice = random.nextInt(100);
    if (choice < 12) {
      int model = random.nextInt(Deployment.MODELS_PER_TEAM);
      int burst = 2 + random.nextInt(MAX_BURST);
      for (int i = 0; i < burst; i++) {
        add(at.plus(random.nextDuration(0, 30)), modelRequest(team, model, Deployment.URGENT));
      }
    } else if (choice < 65) {
      int model = random.nextInt(Deployment.MODELS_PER_TEAM);
      boolean urgent = random.nextBoolean(0.7);
      add(at, modelRequest(team, model, urgent ? Deployment.URGENT : Deployment.BATCH));
    } else if (choice < 75) {
      add(at, serviceRequest(team, Deployment.URGENT, false));
    } else {
      drawDispatch(at, team);
    }
  }

  /** Adds a non-repeatable request, which some callers send twice in close succession. */
  private void drawDispatch(Duration at, int team) {
    Action.Send send = serviceRequest(team, Deployment.DISPATCH, random.nextBoolean(0.4));
    add(at, send);
    if (random.nextBoolean(0.3)) {
      Action.Send again =
          new Action.Send(
              send.tag(),
              send.node() + 1,
              send.customer(),
              send.kind(),
              send.target(),
              send.key(),
              send.pieces(),
              false,
              Optional.empty());
      add(at.plus(random.nextDuration(0, 2_000)), again);
    }
  }

  private Action.Send modelRequest(int team, int model, KindSpec kind) {
    Target target = new Target.ModelTarget(Deployment.model(team, model), Optional.empty());
    boolean poison = faultShare > 0 && random.nextBoolean(0.01);
    return send(team, kind, target, Optional.empty(), poison);
  }

  private Action.Send serviceRequest(int team, KindSpec kind, boolean deduplicates) {
    Target target =
        new Target.ServiceTarget(
            deduplicates ? Deployment.DEDUPLICATING_SERVICE : Deployment.PLAIN_SERVICE,
            "POST",
            "/");
    Optional<IdempotencyKey> key =
        kind.repeatable() ? Optional.empty() : Optional.of(IdempotencyKey.of("k" + (sequence + 1)));
    return send(team, kind, target, key, false);
  }

  private Action.Send send(
      int team, KindSpec kind, Target target, Optional<IdempotencyKey> key, boolean poison) {
    sequence++;
    Optional<Duration> leaves =
        random.nextBoolean(0.04) ? Optional.of(random.nextDuration(5, 4_000)) : Optional.empty();
    int chunkCount = target instanceof Target.ServiceTarget ? 1 : 1 + random.nextInt(8);
    return new Action.Send(
        "t" + sequence,
        random.nextInt(MAX_NODES),
        Deployment.customer(team),
        kind.id(),
        target,
        key,
        chunkCount,
        poison,
        leaves);
  }

  // Faults

  private Action drawFault() {
    int node = random.nextInt(MAX_NODES);
    int other = node + 1 + random.nextInt(MAX_NODES - 1);
    int runner = random.nextInt(Deployment.runners().size());
    return switch (random.nextInt(20)) {
      case 0, 1, 2 -> new Action.PauseNode(node, random.nextDuration(100, 4_000));
      case 3, 4 -> new Action.PauseNode(node, random.nextDuration(2_000, 40_000));
      case 5, 6 -> new Action.KillNode(node, random.nextDuration(10, 8_000));
      case 7 ->
          random.nextBoolean(0.3)
              ? new Action.KillAllNodes(random.nextDuration(50, 3_000))
              : new Action.KillNode(node, random.nextDuration(10, 300));
      case 8 -> new Action.DrainNode(node, random.nextDuration(200, 3_000));
      case 9 ->
          new Action.CutLink(
              node, other, random.nextBoolean(0.5), random.nextDuration(200, 10_000));
      case 10 -> new Action.IsolateNode(node, random.nextDuration(500, 10_000));
      case 11 -> new Action.CutRunner(node, runner, random.nextDuration(200, 6_000));
      case 12, 13 ->
          new Action.CrashRunner(runner, random.nextBoolean(0.4), random.nextDuration(50, 5_000));
      case 14 ->
          new Action.LeaveRunner(
              runner, random.nextDuration(6_000, 15_000), random.nextDuration(500, 5_000));
      case 15 ->
          new Action.LagReports(
              runner, random.nextDuration(200, 2_000), random.nextDuration(500, 8_000));
      case 16 -> drawLogFault(node);
      case 17 ->
          new Action.HideNode(
              node,
              random.nextBoolean(0.5) ? Optional.of(other) : Optional.empty(),
              random.nextDuration(500, 5_000));
      case 18 -> new Action.SlowStore(2 + random.nextInt(8), random.nextDuration(1_000, 10_000));
      default ->
          new Action.ChangeSection(
              random.nextInt(Deployment.TEAMS), 1 + random.nextInt(6), random.nextBoolean(0.4));
    };
  }

  private Action drawLogFault(int node) {
    return switch (random.nextInt(4)) {
      case 0 -> new Action.StopLog(random.nextDuration(500, 15_000));
      case 1 ->
          new Action.StopLogForSide(
              random.nextInt(2), random.nextBoolean(0.6), random.nextDuration(500, 10_000));
      case 2 -> new Action.DropRecords(20 + random.nextInt(100));
      default ->
          new Action.LagLog(node, random.nextDuration(50, 1_500), random.nextDuration(500, 10_000));
    };
  }

  private void add(Duration at, Action action) {
    actions.add(new Plan.Planned(at, action));
  }
}
