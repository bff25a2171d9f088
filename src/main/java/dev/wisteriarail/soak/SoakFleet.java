package dev.wisteriarail.soak;

import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import dev.wisteriarail.standin.RunnerStandin;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fleet of one soak: gateway node processes behind proxies, and a stand-in for the platform.
 *
 * <p>Life cycle: {@link #start}, then {@link #close}. Thread-safe.
 */
final class SoakFleet implements AutoCloseable {

  static final int ENGINE_COUNT = 3;
  private static final int PLAIN_COUNT = 2;

  /** Number of runners of all kinds. */
  static final int RUNNER_COUNT = ENGINE_COUNT + PLAIN_COUNT;

  private final PlatformStandin platform;
  private final List<Member> members = new ArrayList<>();
  private final Map<String, LoopbackProxy> runnerProxies = new HashMap<>();

  private SoakFleet(PlatformStandin platform) {
    this.platform = platform;
  }

  /**
   * Starts the platform and all nodes.
   *
   * @param nodes number of nodes
   * @param plan decides how long nodes may take to stop and whether runners check fencing numbers
   * @param directory directory of the nodes' settings files and log files
   */
  static SoakFleet start(int nodes, SoakPlan plan, Path directory) throws SettingsException {
    SoakFleet fleet = new SoakFleet(PlatformStandin.start(ENGINE_COUNT, PLAIN_COUNT));
    final boolean fences = plan.planType() != SoakPlan.PlanType.UNCHECKED_FENCES;
    for (RunnerStandin runner : fleet.platform.runners()) {
      runner.setChecksFences(fences);
      fleet.addProxy(runner);
    }
    fleet.platform.writeEntries();
    for (int i = 0; i < nodes; i++) {
      Member member = fleet.newMember("n" + i, plan.stopLimit(), fences, directory);
      fleet.members.add(member);
      member.process().start(Duration.ZERO);
    }
    return fleet;
  }

  /** Puts a proxy in front of a runner; nodes learn only the proxy's address. */
  private synchronized void addProxy(RunnerStandin runner) throws SettingsException {
    LoopbackProxy proxy = LoopbackProxy.start(port(runner.address()));
    LoopbackProxy previous = runnerProxies.put(runner.id(), proxy);
    if (previous != null) {
      previous.close();
    }
    runner.announceAddress(proxy.address());
  }

  private Member newMember(String name, Duration stopLimit, boolean fences, Path directory)
      throws SettingsException {
    LoopbackSettings checked = LoopbackSettings.of(name, platform.store().address());
    LoopbackSettings direct = fences ? checked : checked.withUncheckedFences(SoakOracle.LEASE_TIME);
    LoopbackProxy callers = LoopbackProxy.start(direct.callerPort());
    LoopbackProxy peers = LoopbackProxy.start(direct.peerPort());
    LoopbackProxy store = LoopbackProxy.start(port(direct.store()));
    LoopbackSettings settings =
        direct.withAddresses(peers.address(), store.address()).withStopLimit(stopLimit);
    NodeProcess process = NodeProcess.create(name, settings.toml(), directory);
    return new Member(process, settings, callers, peers, store);
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  // Control

  /** Crashes a runner. */
  void crashRunner(int index) {
    platform.crash(runnerId(index));
  }

  /** Restarts a crashed runner. */
  void restartRunner(int index) throws SettingsException {
    addProxy(platform.restart(runnerId(index)));
  }

  /** Returns whether a runner is running. */
  boolean isRunning(int index) {
    return platform.runners().stream().anyMatch(runner -> runner.id().equals(runnerId(index)));
  }

  /** Returns a runner's identifier. */
  static String runnerId(int index) {
    return index < ENGINE_COUNT ? "engine-" + index : "plain-" + (index - ENGINE_COUNT);
  }

  /** Returns the proxy that controls a link. */
  synchronized LoopbackProxy proxy(Disturbance.Link link, int index) {
    return switch (link) {
      case CALLERS -> members.get(index).callers();
      case STORE -> members.get(index).store();
      case PEERS -> members.get(index).peers();
      case RUNNER -> runnerProxies.get(runnerId(index));
    };
  }

  /**
   * Cuts a node off from the store, the other nodes and the runners, or ends that. What is sent
   * meanwhile is held.
   */
  synchronized void setCutOff(int node, boolean cutOff) {
    Member cut = members.get(node);
    LinkState state = cutOff ? LinkState.HELD : LinkState.OPEN;
    cut.store().setState(state);
    cut.peers().setState(state);
    runnerProxies.values().forEach(proxy -> proxy.setHeld(cut.process(), cutOff));
    members.forEach(member -> member.peers().setHeld(cut.process(), cutOff));
  }

  /** Opens all links. */
  synchronized void openLinks() {
    runnerProxies.values().forEach(proxy -> proxy.setState(LinkState.OPEN));
    for (Member member : members) {
      List.of(member.callers(), member.peers(), member.store())
          .forEach(proxy -> proxy.setState(LinkState.OPEN));
    }
  }

  // Accessors

  PlatformStandin platform() {
    return platform;
  }

  /** Returns the nodes in order of their numbers. */
  List<Member> members() {
    return List.copyOf(members);
  }

  @Override
  public void close() throws InterruptedException {
    for (Member member : members) {
      member.process().kill();
    }
    for (Member member : members) {
      List.of(member.callers(), member.peers(), member.store()).forEach(LoopbackProxy::close);
    }
    runnerProxies.values().forEach(LoopbackProxy::close);
    platform.close();
  }

  /**
   * One node.
   *
   * @param process the node's process
   * @param settings the node's settings at its first start
   * @param callers proxy in front of the node's port for callers
   * @param peers proxy in front of the node's port for other nodes
   * @param store the node's own proxy in front of the store
   */
  record Member(
      NodeProcess process,
      LoopbackSettings settings,
      LoopbackProxy callers,
      LoopbackProxy peers,
      LoopbackProxy store) {}
}
