package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.request.Target;
import java.time.Duration;
import java.util.Optional;

/** One action of a plan. Nodes and runners are identified by their number. */
public sealed interface Action {

  // Callers

  /**
   * Sends a request.
   *
   * @param tag identifies its content
   * @param node the node that the balancer would choose
   * @param customer the customer
   * @param kind the kind of request
   * @param target the model or service that it is addressed to
   * @param key the idempotency key
   * @param pieces number of chunks of the expected answer
   * @param poison whether it crashes each backend server that runs it
   * @param leavesAfter time after which the caller disconnects, if it does so early
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

  /** Pauses a node's process; it keeps its state. */
  record PauseNode(int node, Duration length) implements Action {}

  /** Kills a node; a new incarnation starts at its address. */
  record KillNode(int node, Duration absence) implements Action {}

  /** Kills all nodes at once. */
  record KillAllNodes(Duration absence) implements Action {}

  /** Drains a node; a new incarnation starts at its address. */
  record DrainNode(int node, Duration absence) implements Action {}

  // Networks

  /** Cuts a link between two nodes. */
  record CutLink(int from, int to, boolean bothWays, Duration length) implements Action {}

  /** Cuts all links of a node to other nodes. */
  record IsolateNode(int node, Duration length) implements Action {}

  /** Cuts the link between a node and a runner. */
  record CutRunner(int node, int runner, Duration length) implements Action {}

  // Runners

  /** Crashes a runner; it restarts empty or with its earlier replicas. */
  record CrashRunner(int runner, boolean stray, Duration absence) implements Action {}

  /** Makes a runner leave and return later. */
  record LeaveRunner(int runner, Duration notice, Duration absence) implements Action {}

  /** Delays a runner's reports. */
  record LagReports(int runner, Duration lag, Duration length) implements Action {}

  /** Slows all loads. */
  record SlowStore(double factor, Duration length) implements Action {}

  // Log and VM list

  /** Makes the log unavailable to all nodes. */
  record StopLog(Duration length) implements Action {}

  /** Makes the log unavailable to the nodes whose number has the given parity. */
  record StopLogForSide(int parity, boolean reads, Duration length) implements Action {}

  /** Delays a node's reads of the log. */
  record LagLog(int node, Duration lag, Duration length) implements Action {}

  /** Drops all log records but the newest. */
  record DropRecords(int kept) implements Action {}

  /** Hides a live node from the VM list that all nodes or one node read. */
  record HideNode(int node, Optional<Integer> reader, Duration length) implements Action {}

  // Operators

  /** Changes a team's section; two operators change it concurrently if it races. */
  record ChangeSection(int team, int variant, boolean races) implements Action {}
}
