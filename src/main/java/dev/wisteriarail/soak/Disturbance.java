package dev.wisteriarail.soak;

import dev.wisteriarail.standin.RunnerStandin;

/** Something that the soak does to the system from outside. */
public sealed interface Disturbance {

  /** Whether an operator would do this to a working system, without harm to any request. */
  default boolean isPlanned() {
    return false;
  }

  /** A node gets SIGTERM and is started again once it has ended. */
  record NodeStopped(int node) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** A node gets SIGKILL and is started again, with a time of day that may be behind. */
  record NodeKilled(int node, long downMillis, long clockOffsetMillis) implements Disturbance {}

  /** All nodes get SIGKILL at once. */
  record AllKilled(long downMillis) implements Disturbance {}

  /** A node stands still, and goes on. */
  record NodePaused(int node, long millis) implements Disturbance {}

  /** A node's settings file changes and it gets SIGHUP. */
  record SettingsChanged(int node) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** The operator publishes a configuration with one more route. */
  record ConfigurationPublished() implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** Callers of all nodes ask for a model at once that may have to be loaded. */
  record Burst(int model, int callersOfNode) implements Disturbance {

    @Override
    public boolean isPlanned() {
      return true;
    }
  }

  /** The links of one kind to or from one process are harmed for a while. */
  record LinkHarmed(Link link, int index, LinkState state, long millis) implements Disturbance {}

  /** The store is down, slow or loses answers for a while. */
  record StoreHarmed(StoreHarm harm, long millis) implements Disturbance {}

  /** The store forgets its history. */
  record StoreCompacted() implements Disturbance {}

  /** The store is away for a moment and comes back from a copy; operators write again later. */
  record StoreRestored(long awayMillis, long copyMillis, long rewriteMillis)
      implements Disturbance {}

  /** A runner ends and comes back empty under its identifier. */
  record RunnerCrashed(int runner, long downMillis) implements Disturbance {}

  /** A runner says in its answers that it leaves, serves on, ends, and comes back empty. */
  record RunnerLeaves(int runner, long millis, long downMillis) implements Disturbance {}

  /** A runner treats requests badly for a while. */
  record RunnerMisbehaves(int runner, RunnerStandin.Behaviour behaviour, long millis)
      implements Disturbance {

    /** Returns whether no request that reaches the runner is broken off by it. */
    boolean isLossless() {
      return switch (behaviour) {
        case SOUND, FULL, SILENT, SLOW, PAUSING -> true;
        case FAILING, ANSWER_LOST, CUT, CROSSED, UNSIGNED -> false;
      };
    }
  }

  /** Which links a proxy stands on. */
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

  /** What happens to the store. */
  enum StoreHarm {
    /** It refuses all calls. */
    DOWN,
    /** It answers late. */
    SLOW,
    /** It loses part of its answers after their effect. */
    LOSES_ANSWERS
  }
}
