package dev.wisteriarail.fuzz;

/** The kinds of fault that a run counts. */
public enum FaultKind {
  /** A message between nodes was lost. */
  PEER_DROPPED,
  /** A message between nodes was delivered twice. */
  PEER_REPEATED,
  /** A message between nodes was delivered after later ones. */
  PEER_DELAYED,
  /** A link between nodes was cut in one direction. */
  LINK_CUT_ONE_WAY,
  /** A link between nodes was cut in both directions. */
  LINK_CUT_BOTH_WAYS,
  /** The link between a node and a runner was cut. */
  RUNNER_CUT,
  /** A node was paused. */
  NODE_PAUSED,
  /** A node was killed and replaced at the same address. */
  NODE_KILLED,
  /** All nodes were killed and replaced. */
  ALL_NODES_KILLED,
  /** A node was asked to drain. */
  NODE_DRAINED,
  /** An engine crashed and restarted empty. */
  ENGINE_RESTARTED_EMPTY,
  /** An engine crashed and restarted with its earlier replicas. */
  ENGINE_RESTARTED_STRAY,
  /** A runner announced that it is leaving. */
  RUNNER_LEFT,
  /** Reports of a runner lagged. */
  REPORTS_LAGGED,
  /** The answer of an order was lost after its effect. */
  ORDER_ANSWER_LOST,
  /** An order took effect long after its sender stopped waiting. */
  ORDER_LATE,
  /** An order never arrived. */
  ORDER_LOST,
  /** A load failed in the engine. */
  LOAD_FAILED,
  /** A dispatch never arrived. */
  DISPATCH_LOST,
  /** An answer was cut while the backend server continued to run the request. */
  ANSWER_CUT,
  /** A request crashed its backend server. */
  POISON_CRASH,
  /** An append was refused. */
  APPEND_REFUSED,
  /** The answer of an append was lost after its effect. */
  APPEND_ANSWER_LOST,
  /** An append was lost without effect, and without an answer. */
  APPEND_LOST,
  /** An append took effect after its sender stopped waiting. */
  APPEND_LATE,
  /** The log was down for all. */
  LOG_DOWN,
  /** The log was down for some nodes. */
  LOG_DOWN_ONE_SIDE,
  /** Reads of the log lagged on a node. */
  LOG_LAGGED,
  /** Retention dropped records. */
  RETENTION,
  /** Loads were slow. */
  STORE_SLOW,
  /** The VM list that a node reads omitted a live node. */
  LIST_DROPPED_LIVE,
  /** The VM list showed a dead node. */
  LIST_SHOWED_DEAD,
  /** Two operators changed the same section at once. */
  OPERATORS_RACED,
  /** An operator changed a section. */
  CONFIGURATION_CHANGED,
  /** A caller sent a request again with its key. */
  CALLER_RETRIED,
  /** A caller disconnected before its answer was complete. */
  CALLER_LEFT
}
