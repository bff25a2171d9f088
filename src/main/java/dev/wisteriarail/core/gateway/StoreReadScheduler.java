package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Schedules this node's reads of the platform's store.
 *
 * <p>Reads of the store cost more than messages between nodes, so the coordinator reads for all
 * nodes and relays the changes. Another node reads for itself while its state is older than the
 * relayed state would be.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class StoreReadScheduler {

  /** Maximum time that one read waits at the store for a newer configuration. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(1);

  /** Delay after a failed read. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Interval of reading node addresses while the fleet may be starting. */
  private static final Duration NODES_READ_INTERVAL = Duration.ofMillis(400);

  /** Interval of reading node addresses after that, while no peer is reachable. */
  private static final Duration ISOLATED_NODES_READ_INTERVAL = Duration.ofSeconds(5);

  /** Time after its first read in which a node expects other nodes to start too. */
  private static final Duration FLEET_START_TIME = Duration.ofSeconds(4);

  private final Duration directoryReadInterval;
  private boolean configurationRead;
  private boolean readingConfiguration;
  private boolean configurationUrgent;
  private boolean readingDirectory;
  private boolean readingNodes;
  private boolean readingRefusals;
  private long era = LogPosition.NONE.era();
  private LogPosition nextConfigurationOffset = LogPosition.NONE;
  private boolean directoryGap = true;
  private boolean nodesRead;
  private boolean refusalsRead;
  private Instant nextConfigurationReadAt = Instant.MIN;
  private Instant configurationReadStartedAt = Instant.MIN;
  private Instant nextDirectoryReadAt = Instant.MIN;
  private Instant directoryReadStartedAt = Instant.MIN;
  private Instant nextNodesReadAt = Instant.MIN;
  private Instant nextRefusalsReadAt = Instant.MIN;
  private Instant lastAnswerAt = Instant.MIN;
  private Instant failingSince = Instant.MAX;
  private Instant firstCallAt = Instant.MAX;

  private StoreReadScheduler(Duration directoryReadInterval) {
    this.directoryReadInterval = directoryReadInterval;
  }

  static StoreReadScheduler create(Duration directoryReadInterval) {
    return new StoreReadScheduler(directoryReadInterval);
  }

  // Reads

  /**
   * Returns the reads to start now.
   *
   * @param watching whether this node follows the store, for itself or for all nodes
   * @param directoryOffset position up to which the directory of runners is known
   * @param registration state of the registration of this node's address
   * @param isolated whether no peer is live
   */
  List<StoreRead> advance(
      boolean watching,
      LogPosition directoryOffset,
      NodeRegistration.State registration,
      boolean isolated,
      Instant now) {
    List<StoreRead> reads = new ArrayList<>();
    boolean first = !configurationRead || !directoryOffset.known();
    if (!readingConfiguration && !now.isBefore(nextConfigurationReadAt) && (watching || first)) {
      readingConfiguration = true;
      configurationReadStartedAt = now;
      reads.add(
          nextConfigurationOffset.known()
              ? new StoreRead.NextConfiguration(
                  nextConfigurationOffset, configurationUrgent ? Duration.ZERO : CONFIGURATION_WAIT)
              : new StoreRead.NewestConfiguration());
    }
    if (!readingDirectory
        && !now.isBefore(nextDirectoryReadAt)
        && (watching || !directoryOffset.known())) {
      readingDirectory = true;
      directoryReadStartedAt = now;
      reads.add(
          directoryGap || !directoryOffset.known()
              ? new StoreRead.WholeDirectory()
              : new StoreRead.DirectoryChanges(directoryOffset));
    }
    if (!readingNodes
        && shouldReadNodes(registration, isolated)
        && !now.isBefore(nextNodesReadAt)) {
      readingNodes = true;
      reads.add(new StoreRead.Nodes());
    }
    if (!readingRefusals && (isolated || !refusalsRead) && !now.isBefore(nextRefusalsReadAt)) {
      readingRefusals = true;
      reads.add(new StoreRead.CrashRefusals());
    }
    if (!reads.isEmpty() && firstCallAt.equals(Instant.MAX)) {
      firstCallAt = now;
    }
    return reads;
  }

  /**
   * Returns whether the addresses of nodes are to be read. A node reads them once after its own
   * registration: of two nodes that start together, the one that reads after both are registered
   * discovers the other.
   */
  private boolean shouldReadNodes(NodeRegistration.State registration, boolean isolated) {
    return switch (registration) {
      case PENDING -> false;
      case FAILED -> isolated;
      case DONE -> isolated || !nodesRead;
    };
  }

  // Results

  /**
   * Handles the store's era, from a read or from a peer. State that was read in an earlier era is
   * read again.
   *
   * @return whether a known era was replaced by a newer one
   */
  boolean acceptEra(long newEra, Instant now) {
    if (newEra <= era) {
      return false;
    }
    boolean replaced = era >= 0;
    era = newEra;
    if (replaced) {
      nextConfigurationOffset = LogPosition.NONE;
      directoryGap = true;
      nextConfigurationReadAt = now;
      nextDirectoryReadAt = now;
    }
    return replaced;
  }

  /** Returns whether a result is to be ignored because it comes from an earlier era. */
  boolean isOutdated(StoreAnswer answer) {
    return answer.era() >= 0 && answer.era() < era;
  }

  /** Returns whether the positions of a read and its result belong to the same era. */
  private static boolean sameEra(StoreRead call, StoreAnswer answer) {
    return switch (call) {
      case StoreRead.NextConfiguration next -> next.from().era() == answer.era();
      case StoreRead.DirectoryChanges changes -> changes.from().era() == answer.era();
      default -> true;
    };
  }

  /** Handles the result of a read. */
  void accept(StoreRead call, StoreAnswer answer, Instant now) {
    recordCall(!(answer instanceof StoreAnswer.Failed), now);
    boolean failed = answer instanceof StoreAnswer.Failed || isOutdated(answer);
    Instant nextReadAt = failed ? now.plus(RETRY_DELAY) : now;
    switch (call) {
      case StoreRead.NewestConfiguration newest -> {
        readingConfiguration = false;
        nextConfigurationReadAt = nextReadAt;
      }
      case StoreRead.NextConfiguration later -> {
        readingConfiguration = false;
        nextConfigurationReadAt = nextReadAt;
      }
      case StoreRead.WholeDirectory whole -> {
        readingDirectory = false;
        nextDirectoryReadAt = failed ? nextReadAt : now.plus(directoryReadInterval);
      }
      case StoreRead.DirectoryChanges changes -> {
        readingDirectory = false;
        nextDirectoryReadAt = failed ? nextReadAt : now.plus(directoryReadInterval);
      }
      case StoreRead.Nodes nodes -> {
        readingNodes = false;
        boolean starting = now.isBefore(firstCallAt.plus(FLEET_START_TIME));
        nextNodesReadAt =
            now.plus(starting || failed ? NODES_READ_INTERVAL : ISOLATED_NODES_READ_INTERVAL);
      }
      case StoreRead.CrashRefusals refusals -> {
        readingRefusals = false;
        nextRefusalsReadAt = now.plus(failed ? RETRY_DELAY : ISOLATED_NODES_READ_INTERVAL);
      }
    }
    if (failed || !sameEra(call, answer)) {
      return;
    }
    switch (answer) {
      case StoreAnswer.ConfigurationRead read -> {
        nextConfigurationOffset = LogPosition.max(nextConfigurationOffset, read.next());
        configurationRead |= read.configuration().isPresent();
      }
      case StoreAnswer.DirectoryRead read -> directoryGap = false;
      case StoreAnswer.RecordsDropped dropped -> {
        if (call instanceof StoreRead.DirectoryChanges) {
          directoryGap = true;
          nextDirectoryReadAt = now;
        } else {
          nextConfigurationOffset = LogPosition.NONE;
        }
      }
      case StoreAnswer.NodesRead read -> nodesRead = true;
      case StoreAnswer.CrashRefusalsRead read -> refusalsRead = true;
      case StoreAnswer.Failed failure -> {}
    }
  }

  /**
   * Records that this node's address was written. Other nodes may have started meanwhile, so the
   * addresses are read again.
   */
  void recordRegistration() {
    nodesRead = false;
  }

  /** Sets whether reads of the configuration return at once, to confirm the one in force. */
  void setConfigurationUrgent(boolean urgent) {
    configurationUrgent = urgent;
  }

  /** Records that a configuration was received from a peer. */
  void recordConfiguration() {
    configurationRead = true;
  }

  /** Reads the configuration until there is one, though a peer may follow the store. */
  void requestConfiguration() {
    configurationRead = false;
  }

  /** Records the end of any call to the store. */
  void recordCall(boolean answered, Instant now) {
    if (answered) {
      lastAnswerAt = now;
      failingSince = Instant.MAX;
    } else if (failingSince.equals(Instant.MAX)) {
      failingSince = now;
    }
  }

  // Accessors

  /** Returns whether the last call to the store succeeded or none has completed yet. */
  boolean isReachable() {
    return failingSince.equals(Instant.MAX);
  }

  /** Returns the store's era, or -1 if it is unknown. */
  long era() {
    return era;
  }

  /**
   * Returns the time at which the store had no newer configuration than the ones in the result of
   * the last read. A waiting read without a result was answered at the end of its wait.
   */
  Instant configurationKnownAt(StoreRead call, StoreAnswer.ConfigurationRead read, Instant now) {
    Duration wait =
        call instanceof StoreRead.NextConfiguration next && read.configuration().isEmpty()
            ? next.maxWait()
            : Duration.ZERO;
    Instant end = configurationReadStartedAt.plus(wait);
    return end.isBefore(now) ? end : now;
  }

  /** Returns when the last read of the directory started; its result is at least as new. */
  Instant directoryReadStartedAt() {
    return directoryReadStartedAt;
  }

  /** Returns when the store last responded, or {@link Instant#MIN} if it never did. */
  Instant lastAnswerAt() {
    return lastAnswerAt;
  }
}
