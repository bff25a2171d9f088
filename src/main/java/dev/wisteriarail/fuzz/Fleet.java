package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.placement.PlacementPolicy;
import dev.wisteriarail.fuzz.oracle.AcceptedChanges;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The nodes of a run and all fakes around them. Not thread-safe. */
final class Fleet {

  /** Idle timeout that makes unloads frequent in a short run. */
  private static final Duration SHORT_IDLE_TIMEOUT = Duration.ofSeconds(6);

  private final World world;
  private final Defect defect;
  private final SeededRandom random;
  private final FakeLog log;
  private final FakeVmList vmList;
  private final FakeNetwork network;
  private final WeightStore store;
  private final Callers callers;
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<RunnerId, FakeRunner> runners = new TreeMap<>();
  private final AcceptedChanges published = new AcceptedChanges();
  private int changes;

  private Fleet(World world, Defect defect) {
    this.world = world;
    this.defect = defect;
    random = world.random("fleet");
    log = new FakeLog(world);
    vmList = new FakeVmList(world);
    network = new FakeNetwork(world, (to, event) -> node(to).submit(event));
    store = new WeightStore(world);
    callers = new Callers(world, this);
  }

  /** Returns a fleet whose nodes have not started. */
  static Fleet create(World world, int nodes, Defect defect) {
    Fleet fleet = new Fleet(world, defect);
    PlacementPolicy policy =
        fleet.random.nextBoolean(0.5)
            ? PlacementPolicy.arrivalDriven()
            : PlacementPolicy.fixedTimeout(SHORT_IDLE_TIMEOUT);
    for (int i = 0; i < nodes; i++) {
      fleet.nodes.add(new SimulatedNode(world, fleet, i, policy));
    }
    IdempotencyKeyStore keys = new IdempotencyKeyStore();
    Deployment.runners()
        .forEach(
            spec -> fleet.runners.put(spec.id(), new FakeRunner(world, spec, fleet.store, keys)));
    return fleet;
  }

  // Life cycle

  /** Publishes the first configuration and starts all nodes. */
  void start() {
    publish(Deployment.platform());
    for (int team = 0; team < Deployment.TEAMS; team++) {
      publish(Deployment.team(team, 0));
    }
    for (SimulatedNode node : nodes) {
      vmList.add(node.id(), node.number());
      world.after(random.nextDuration(0, 300), node::start);
    }
  }

  /** Ends all faults and restarts what is down. */
  void heal() {
    world.endFaults();
    network.heal();
    log.heal();
    vmList.heal();
    store.slow(1, world.now());
    runners.values().forEach(FakeRunner::heal);
    nodes.forEach(SimulatedNode::resume);
    for (SimulatedNode node : nodes) {
      if (!node.isAlive()) {
        restart(node);
      }
      world.observe(new Observation.LogAccess(node.id(), true));
    }
    world.recordNotable("faults have ended");
    world.observe(new Observation.FaultsEnded());
  }

  /** Ends an incarnation that has drained; the next one starts after a delay. */
  void finishDrain(SimulatedNode node) {
    node.kill();
    vmList.remove(node.id());
    world.after(random.nextDuration(200, 3_000), () -> restart(node));
  }

  /** Reports the status pages of the live nodes to the oracle. */
  void observeStatus() {
    for (SimulatedNode node : nodes) {
      if (node.isAlive()) {
        world.observe(
            new Observation.NodeStatus(
                node.id(),
                node.core().configuration().revision().value(),
                Integer.toHexString(node.core().configuration().toString().hashCode()),
                node.core().isReady(),
                node.core().isController()));
      }
    }
  }

  // Actions

  /** Performs an action of the plan. */
  void perform(Action action) {
    if (!(action instanceof Action.Send)) {
      world.recordNotable("plan: " + action);
    }
    switch (action) {
      case Action.Send send -> callers.send(send);
      case Action.PauseNode pause -> {
        world.countFault(FaultKind.NODE_PAUSED);
        nodeAt(pause.node()).pause(world.now().plus(pause.length()));
      }
      case Action.KillNode kill -> {
        world.countFault(FaultKind.NODE_KILLED);
        replace(nodeAt(kill.node()), kill.absence());
      }
      case Action.KillAllNodes kill -> {
        world.countFault(FaultKind.ALL_NODES_KILLED);
        nodes.forEach(node -> replace(node, kill.absence()));
      }
      case Action.DrainNode drain -> drain(nodeAt(drain.node()));
      case Action.CutLink cut -> cutLink(cut);
      case Action.IsolateNode isolate -> isolate(nodeAt(isolate.node()), isolate.length());
      case Action.CutRunner cut -> {
        world.countFault(FaultKind.RUNNER_CUT);
        network.cutRunner(
            nodeAt(cut.node()).id(), runnerAt(cut.runner()).id(), world.now().plus(cut.length()));
      }
      case Action.CrashRunner crash -> {
        world.countFault(
            crash.stray() ? FaultKind.ENGINE_RESTARTED_STRAY : FaultKind.ENGINE_RESTARTED_EMPTY);
        runnerAt(crash.runner()).crash(crash.stray(), crash.absence());
      }
      case Action.LeaveRunner leave -> {
        world.countFault(FaultKind.RUNNER_LEFT);
        runnerAt(leave.runner()).leave(leave.notice(), leave.absence());
      }
      case Action.LagReports lag -> {
        world.countFault(FaultKind.REPORTS_LAGGED);
        runnerAt(lag.runner()).lagReports(lag.lag(), lag.length());
      }
      case Action.SlowStore slow -> {
        world.countFault(FaultKind.STORE_SLOW);
        store.slow(slow.factor(), world.now().plus(slow.length()));
      }
      case Action.StopLog stop -> {
        world.countFault(FaultKind.LOG_DOWN);
        nodes.forEach(node -> stopLog(node, true, stop.length()));
      }
      case Action.StopLogForSide stop -> {
        world.countFault(FaultKind.LOG_DOWN_ONE_SIDE);
        nodes.stream()
            .filter(node -> node.number() % 2 == stop.parity())
            .forEach(node -> stopLog(node, stop.reads(), stop.length()));
      }
      case Action.LagLog lag -> {
        world.countFault(FaultKind.LOG_LAGGED);
        log.lag(nodeAt(lag.node()).id(), lag.lag(), lag.length());
      }
      case Action.DropRecords drop -> {
        world.countFault(FaultKind.RETENTION);
        log.dropOldRecords(drop.kept());
      }
      case Action.HideNode hide -> hide(hide);
      case Action.ChangeSection change -> change(change);
    }
  }

  private void replace(SimulatedNode node, Duration absence) {
    node.kill();
    vmList.remove(node.id());
    world.after(absence, () -> restart(node));
  }

  private void restart(SimulatedNode node) {
    if (!node.isAlive()) {
      vmList.add(node.id(), node.number());
      node.start();
    }
  }

  private void drain(SimulatedNode node) {
    if (node.isAlive()) {
      world.countFault(FaultKind.NODE_DRAINED);
      world.observe(new Observation.DrainAsked(node.id()));
      vmList.markLeaving(node.id());
      node.submit(new Event.DrainRequested());
    }
  }

  private void cutLink(Action.CutLink cut) {
    world.countFault(cut.bothWays() ? FaultKind.LINK_CUT_BOTH_WAYS : FaultKind.LINK_CUT_ONE_WAY);
    NodeId from = nodeAt(cut.from()).id();
    NodeId to = nodeAt(cut.to()).id();
    network.cutNodes(from, to, world.now().plus(cut.length()));
    if (cut.bothWays()) {
      network.cutNodes(to, from, world.now().plus(cut.length()));
    }
  }

  private void isolate(SimulatedNode node, Duration length) {
    world.countFault(FaultKind.LINK_CUT_BOTH_WAYS);
    for (SimulatedNode other : nodes) {
      network.cutNodes(node.id(), other.id(), world.now().plus(length));
      network.cutNodes(other.id(), node.id(), world.now().plus(length));
    }
  }

  private void stopLog(SimulatedNode node, boolean reads, Duration length) {
    log.stopAppends(node.id(), world.now().plus(length));
    if (reads) {
      log.stopReads(node.id(), world.now().plus(length));
    }
  }

  private void hide(Action.HideNode hide) {
    world.countFault(FaultKind.LIST_DROPPED_LIVE);
    for (SimulatedNode reader : nodes) {
      if (hide.reader().isEmpty() || nodeAt(hide.reader().get()) == reader) {
        vmList.hide(nodeAt(hide.node()).id(), reader.id(), world.now().plus(hide.length()));
      }
    }
  }

  private void change(Action.ChangeSection change) {
    Section section = Deployment.team(change.team(), change.variant());
    Revision basis = published.basis(section.name());
    world.countFault(FaultKind.CONFIGURATION_CHANGED);
    publish(section, basis);
    if (change.races()) {
      world.countFault(FaultKind.OPERATORS_RACED);
      Section other = Deployment.team(change.team(), change.variant() + 1);
      world.after(random.nextDuration(1, 300), () -> publish(other, basis));
    }
  }

  private void publish(Section section) {
    publish(section, published.basis(section.name()));
  }

  private void publish(Section section, Revision basis) {
    changes++;
    RecordBody body =
        new RecordBody.ConfigurationChanged(basis, section, "operator", "change " + changes);
    published.accept(log.appendAsOperator(RecordId.of("operator." + changes), body));
  }

  // Accessors

  Defect defect() {
    return defect;
  }

  FakeLog log() {
    return log;
  }

  FakeVmList vmList() {
    return vmList;
  }

  FakeNetwork network() {
    return network;
  }

  Callers callers() {
    return callers;
  }

  List<SimulatedNode> nodes() {
    return Collections.unmodifiableList(nodes);
  }

  SimulatedNode node(NodeId id) {
    return nodes.stream().filter(node -> node.id().equals(id)).findFirst().orElseThrow();
  }

  Optional<FakeRunner> runner(RunnerId id) {
    return Optional.ofNullable(runners.get(id));
  }

  // Helpers

  private SimulatedNode nodeAt(int number) {
    return nodes.get(number % nodes.size());
  }

  private FakeRunner runnerAt(int number) {
    return List.copyOf(runners.values()).get(number % runners.size());
  }
}
