package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.util.Optional;

/** One thing that a plan does to the fleet. Nodes and runners are named by their number. */
public sealed interface Action {

  // Callers

  /**
   * Sends a request.
   *
   * @param tag distinguishes its content
   * @param node the node that the balancer would choose
   * @param customer the customer
   * @param kind the kind of request
   * @param target what it is addressed to
   * @param key the idempotency key
   * @param pieces pieces of the right answer
   * @param poison whether it crashes each backend server that runs it
   * @param leavesAfter when the caller loses patience, for one that leaves early
   */
  record Send(
      String tag,
      int node,
      CustomerId customer,
      KindId kind,
      Target target,
      Optional<IdempotencyKey> key,
      int pieces,
      boolean poison,
      Optional<Duration> leavesAfter)
      implements Action {}

  // Nodes

  /** Stops a node's process for a while; nothing is lost. */
  record PauseNode(int node, Duration length) implements Action {}

  /** Kills a node; another run starts at its address. */
  record KillNode(int node, Duration absence) implements Action {}

  /** Kills all nodes at once. */
  record KillAllNodes(Duration absence) implements Action {}

  /** Tells a node to drain; another run starts at its address. */
  record DrainNode(int node, Duration absence) implements Action {}

  // Networks

  /** Cuts a link between two nodes. */
  record CutLink(int from, int to, boolean bothWays, Duration length) implements Action {}

  /** Cuts all links of a node to other nodes. */
  record IsolateNode(int node, Duration length) implements Action {}

  /** Cuts a node from a runner. */
  record CutRunner(int node, int runner, Duration length) implements Action {}

  // Runners

  /** Crashes a runner; it comes back empty or with replicas that it had held. */
  record CrashRunner(int runner, boolean stray, Duration absence) implements Action {}

  /** Makes a runner leave and come back later. */
  record LeaveRunner(int runner, Duration notice, Duration absence) implements Action {}

  /** Delays a runner's reports. */
  record LagReports(int runner, Duration lag, Duration length) implements Action {}

  /** Slows all loads. */
  record SlowStore(double factor, Duration length) implements Action {}

  // Log and VM list

  /** Takes the log away from all nodes. */
  record StopLog(Duration length) implements Action {}

  /** Takes the log away from the nodes whose number has the given parity. */
  record StopLogForSide(int parity, boolean reads, Duration length) implements Action {}

  /** Delays a node's readings of the log. */
  record LagLog(int node, Duration lag, Duration length) implements Action {}

  /** Drops all but the newest records. */
  record DropRecords(int kept) implements Action {}

  /** Hides a live node from the readings of all nodes, or of one. */
  record HideNode(int node, Optional<Integer> reader, Duration length) implements Action {}

  // Operators

  /** Changes a team's section; two operators at once where it races. */
  record ChangeSection(int team, int variant, boolean races) implements Action {}
}
