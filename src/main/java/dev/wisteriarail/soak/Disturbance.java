package dev.wisteriarail.soak;

import dev.wisteriarail.standin.RunnerStandin;

/** An action of the soak on the system from outside: a fault or planned operation. Immutable. */
public sealed interface Disturbance {

  /** Returns whether this is a planned operation, which must not affect any request. */
  default boolean isPlanned() {
    return false;
  }

  /** A node gets SIGTERM and is restarted once its process has ended. */
  record NodeStopped(int node) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** A node gets SIGKILL and is restarted with a wall clock that may be ahead or behind. */
  record NodeKilled(int node, long downMillis, long clockOffsetMillis) implements Disturbance {}

  /** All nodes get SIGKILL at once and are restarted. */
  record AllKilled(long downMillis) implements Disturbance {}

  /** A node is suspended and resumed. */
  record NodePaused(int node, long millis) implements Disturbance {}

  /** A node's settings file changes and the node gets SIGHUP. */
  record SettingsChanged(int node) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /**
   * A node gets SIGTERM and is restarted; its settings file changes and it gets SIGHUP while it
   * starts.
   *
   * @param afterMillis time from the first event that the node logs until SIGHUP
   */
  record SettingsChangedInStart(int node, long afterMillis) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** The operator publishes a configuration with an additional route. */
  record ConfigurationPublished() implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** Callers of all nodes send requests at once for a model that may have to be loaded. */
  record Burst(int model, int callersOfNode) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** The links of one kind to or from one process fail for a while. */
  record LinkHarmed(Link link, int index, LinkState state, long millis) implements Disturbance {}

  /**
   * The node that gave the last order is cut off from the store, the other nodes and the runners,
   * while callers still reach it. What was sent meanwhile arrives after the cut.
   */
  record OrderingNodeCutOff(long millis) implements Disturbance {}

  /** The store is down, answers late or loses answers for a while. */
  record StoreHarmed(StoreHarm harm, long millis) implements Disturbance {}

  /** The topics of the store are compacted. */
  record StoreCompacted() implements Disturbance {}

  /** The store is down, is restored from a copy, and the operator publishes again later. */
  record StoreRestored(long awayMillis, long copyMillis, long rewriteMillis)
      implements Disturbance {}

  /** A runner crashes and restarts under its identifier with no models loaded. */
  record RunnerCrashed(int runner, long downMillis) implements Disturbance {}

  /**
   * A runner announces in its responses that it is leaving, keeps serving, crashes and restarts.
   */
  record RunnerLeaves(int runner, long millis, long downMillis) implements Disturbance {}

  /**
   * A sound runner is silent for about a second in each of its answers for a while, and goes on.
   * This is no fault, so plans with only planned operations have it too.
   */
  record RunnerFallsSilent(int runner, long millis) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /**
   * Another writer puts an odd entry into the directory and later removes it; under a runner's own
   * identifier the runner's next entry replaces it.
   *
   * @param entry number of the odd entry
   * @param runner the runner whose identifier it has; {@link #NEW_RUNNER} for a new one
   */
  record OddEntryWritten(int entry, int runner, long millis) implements Disturbance {

    /** Stands for an identifier that no runner has. */
    static final int NEW_RUNNER = -1;

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** A runner misbehaves for a while. */
  record RunnerMisbehaves(int runner, RunnerStandin.Behaviour behaviour, long millis)
      implements Disturbance {

    /**
     * Returns whether the behaviour excludes error responses and lost, wrong or incomplete answers.
     */
    boolean isLossless() {
      return switch (behaviour) {
        case SOUND, FULL, SILENT, SLOW, SILENT_FOR_A_SECOND, PAUSING -> true;
        case FAILING, ANSWER_LOST, CUT, CROSSED, UNSIGNED -> false;
      };
    }
  }

  /** The links that a proxy controls. */
  enum Link {
    /** From callers to one node. */
    CALLERS,
    /** From one node to the store. */
    STORE,
    /** From other nodes to one node. */
    PEERS,
    /** From all nodes to one runner. */
    RUNNER
  }

  /** Faults of the store. */
  enum StoreHarm {
    /** All calls fail. */
    DOWN,
    /** Answers are delayed. */
    SLOW,
    /** Some answers are lost after the calls took effect. */
    LOSES_ANSWERS
  }
}
