package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.id.LogPosition;
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
final class StoreReadScheduler {

  /** Longest time that one read for a later configuration waits at the store. */
  private static final Duration CONFIGURATION_WAIT = Duration.ofSeconds(1);

  /** Pause after a failed read. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Pause between two reads of the nodes' addresses while the fleet may be starting. */
  private static final Duration NODES_READ_INTERVAL = Duration.ofMillis(400);

  /** Pause between two such reads of a node that has long been alone. */
  private static final Duration ISOLATED_NODES_READ_INTERVAL = Duration.ofSeconds(5);

  /** Time after its first read in which a node expects others to start too. */
  private static final Duration FLEET_START_TIME = Duration.ofSeconds(4);

  private final Duration directoryReadInterval;
  private boolean configurationRead;
  private boolean readingConfiguration;
  private boolean readingDirectory;
  private boolean readingNodes;
  private long era = LogPosition.NONE.era();
  private LogPosition nextConfigurationOffset = LogPosition.NONE;
  private boolean directoryGap = true;
  private boolean nodesRead;
  private Instant nextConfigurationReadAt = Instant.MIN;
  private Instant nextDirectoryReadAt = Instant.MIN;
  private Instant directoryReadStartedAt = Instant.MIN;
  private Instant nextNodesReadAt = Instant.MIN;
  private Instant lastAnswerAt = Instant.MIN;
  private Instant failingSince = Instant.MAX;
  private Instant firstCallAt = Instant.MAX;

  private StoreReadScheduler(Duration directoryReadInterval) {
    this.directoryReadInterval = directoryReadInterval;
  }

  static StoreReadScheduler create(Duration directoryReadInterval) {
    return new StoreReadScheduler(directoryReadInterval);
  }

  // Calls

  /**
   * Returns the reads to start now.
   *
   * @param watching whether this node follows the store, for itself or for all
   * @param directoryOffset place up to which it knows the directory
   * @param registration how far this node's own address got into the store
   * @param isolated whether no peer is heard
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
      reads.add(
          nextConfigurationOffset.known()
              ? new StoreRead.NextConfiguration(nextConfigurationOffset, CONFIGURATION_WAIT)
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
    if (!reads.isEmpty() && firstCallAt.equals(Instant.MAX)) {
      firstCallAt = now;
    }
    return reads;
  }

  /**
   * Of two nodes that start together, the one that reads after both are registered learns of the
   * other; so each reads once after its own registration.
   */
  private boolean shouldReadNodes(NodeRegistration.State registration, boolean isolated) {
    return switch (registration) {
      case PENDING -> false;
      case FAILED -> isolated;
      case DONE -> isolated || !nodesRead;
    };
  }

  // Answers

  /**
   * Takes the store's era, from an answer or a peer. What was read in an earlier one is read anew.
   *
   * @return whether it follows another one
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

  /** Returns whether an answer tells nothing, as it comes from an era that is over. */
  boolean isOutdated(StoreAnswer answer) {
    return answer.era() >= 0 && answer.era() < era;
  }

  /** Returns whether the places of a call and its answer belong to one era. */
  private static boolean sameEra(StoreRead call, StoreAnswer answer) {
    return switch (call) {
      case StoreRead.NextConfiguration next -> next.from().era() == answer.era();
      case StoreRead.DirectoryChanges changes -> changes.from().era() == answer.era();
      default -> true;
    };
  }

  /** Takes the end of a read. */
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
      case StoreAnswer.Failed failure -> {}
    }
  }

  /** Notes that this node's own address was written: other nodes may have started meanwhile. */
  void recordRegistration() {
    nodesRead = false;
  }

  /** Notes that a configuration came from a peer. */
  void recordConfiguration() {
    configurationRead = true;
  }

  /** Notes the end of any call to the store. */
  void recordCall(boolean answered, Instant now) {
    if (answered) {
      lastAnswerAt = now;
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

  /** Returns the store's era; -1 if none is known. */
  long era() {
    return era;
  }

  /** Returns when the last read of the directory began: its answer is at least as new. */
  Instant directoryReadStartedAt() {
    return directoryReadStartedAt;
  }

  /** Returns when the store last answered; {@link Instant#MIN} if it never did. */
  Instant lastAnswerAt() {
    return lastAnswerAt;
  }
}
