package dev.wisteriarail.core.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides when this node reads the platform's store.
 *
 * <p>Reads cost more than messages between nodes, so one node, the coordinator, reads for all and
 * passes changes on. Any other node reads for itself while what it knows is older than the
 * coordinator's word would let it be.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class StoreWatch {

  /** Longest time that one read for a later configuration waits at the store. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(1);

  /** Pause after a failed read. */
  private static final Duration RETRY = Duration.ofMillis(250);

  /** Pause between two reads of the nodes' addresses while the fleet may be starting. */
  private static final Duration NODES_RETRY = Duration.ofMillis(400);

  /** Pause between two such reads of a node that has long been alone. */
  private static final Duration NODES_RETRY_ALONE = Duration.ofSeconds(5);

  /** Time after its first read in which a node expects others to start too. */
  private static final Duration STARTING = Duration.ofSeconds(4);

  /** How far a node's own address got into the store. */
  enum Registration {
    /** Not written yet. */
    PENDING,
    /** The last try failed. */
    FAILED,
    /** Written. */
    DONE
  }

  private final Duration directoryPause;
  private boolean configurationRead;
  private boolean readingConfiguration;
  private boolean readingDirectory;
  private boolean readingNodes;
  private long nextConfiguration = -1;
  private boolean directoryGap = true;
  private boolean nodesRead;
  private Instant configurationAt = Instant.MIN;
  private Instant directoryAt = Instant.MIN;
  private Instant directoryAskedAt = Instant.MIN;
  private Instant nodesAt = Instant.MIN;
  private Instant answeredAt = Instant.MIN;
  private Instant failingSince = Instant.MAX;
  private Instant firstCallAt = Instant.MAX;

  private StoreWatch(Duration directoryPause) {
    this.directoryPause = directoryPause;
  }

  static StoreWatch create(Duration directoryPause) {
    return new StoreWatch(directoryPause);
  }

  // Calls

  /**
   * Returns the reads to start now.
   *
   * @param watching whether this node follows the store, for itself or for all
   * @param directoryOffset offset up to which it knows the directory; negative if it knows nothing
   * @param registration how far this node's own address got into the store
   * @param lonely whether no peer is heard
   */
  List<StoreRead> advance(
      boolean watching,
      long directoryOffset,
      Registration registration,
      boolean lonely,
      Instant now) {
    List<StoreRead> reads = new ArrayList<>();
    boolean first = !configurationRead || directoryOffset < 0;
    if (!readingConfiguration && !now.isBefore(configurationAt) && (watching || first)) {
      readingConfiguration = true;
      reads.add(
          nextConfiguration < 0
              ? new StoreRead.NewestConfiguration()
              : new StoreRead.NextConfiguration(nextConfiguration, CONFIGURATION_WAIT));
    }
    if (!readingDirectory && !now.isBefore(directoryAt) && (watching || directoryOffset < 0)) {
      readingDirectory = true;
      directoryAskedAt = now;
      reads.add(
          directoryGap || directoryOffset < 0
              ? new StoreRead.WholeDirectory()
              : new StoreRead.DirectoryChanges(directoryOffset));
    }
    if (!readingNodes && wantsNodes(registration, lonely) && !now.isBefore(nodesAt)) {
      readingNodes = true;
      reads.add(new StoreRead.Nodes());
    }
    if (!reads.isEmpty() && firstCallAt.equals(Instant.MAX)) {
      firstCallAt = now;
    }
    return reads;
  }

  /**
   * Of two nodes that start together, the one that reads after both are registered learns of the
   * other; so each reads once after its own registration.
   */
  private boolean wantsNodes(Registration registration, boolean lonely) {
    return switch (registration) {
      case PENDING -> false;
      case FAILED -> lonely;
      case DONE -> lonely || !nodesRead;
    };
  }

  // Answers

  /** Takes the end of a read. */
  void accept(StoreRead call, StoreAnswer answer, Instant now) {
    boolean failed = answer instanceof StoreAnswer.Failed;
    noteCall(!failed, now);
    Instant next = failed ? now.plus(RETRY) : now;
    switch (call) {
      case StoreRead.NewestConfiguration newest -> {
        readingConfiguration = false;
        configurationAt = next;
      }
      case StoreRead.NextConfiguration later -> {
        readingConfiguration = false;
        configurationAt = next;
      }
      case StoreRead.WholeDirectory whole -> {
        readingDirectory = false;
        directoryAt = failed ? next : now.plus(directoryPause);
      }
      case StoreRead.DirectoryChanges changes -> {
        readingDirectory = false;
        directoryAt = failed ? next : now.plus(directoryPause);
      }
      case StoreRead.Nodes nodes -> {
        readingNodes = false;
        boolean starting = now.isBefore(firstCallAt.plus(STARTING));
        nodesAt = now.plus(starting || failed ? NODES_RETRY : NODES_RETRY_ALONE);
      }
    }
    switch (answer) {
      case StoreAnswer.ConfigurationRead read -> {
        nextConfiguration = Math.max(nextConfiguration, read.next());
        configurationRead |= read.configuration().isPresent();
      }
      case StoreAnswer.DirectoryRead read -> directoryGap = false;
      case StoreAnswer.RecordsDropped dropped -> {
        if (call instanceof StoreRead.DirectoryChanges) {
          directoryGap = true;
          directoryAt = now;
        } else {
          nextConfiguration = -1;
        }
      }
      case StoreAnswer.NodesRead read -> nodesRead = true;
      case StoreAnswer.Failed failure -> {}
    }
  }

  /** Notes that a configuration came from a peer. */
  void noteConfiguration() {
    configurationRead = true;
  }

  /** Notes the end of any call to the store. */
  void noteCall(boolean answered, Instant now) {
    if (answered) {
      answeredAt = now;
      failingSince = Instant.MAX;
    } else if (failingSince.equals(Instant.MAX)) {
      failingSince = now;
    }
  }

  // Accessors

  /** Returns whether the store answered the last call, or none was made yet. */
  boolean isReachable() {
    return failingSince.equals(Instant.MAX);
  }

  /** Returns when the last read of the directory began: its answer is at least as new. */
  Instant directoryAskedAt() {
    return directoryAskedAt;
  }

  /** Returns when the store last answered; {@link Instant#MIN} if it never did. */
  Instant answeredAt() {
    return answeredAt;
  }
}
