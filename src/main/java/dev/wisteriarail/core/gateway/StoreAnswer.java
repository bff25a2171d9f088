package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.util.List;
import java.util.Optional;

/** What became of a read of the platform's store. */
public sealed interface StoreAnswer {

  /** Returns the era of the store that answered; -1 if none is known. */
  default long era() {
    return switch (this) {
      case ConfigurationRead read -> read.next().era();
      case DirectoryRead read -> read.change().to().era();
      case NodesRead read -> read.era();
      case RecordsDropped dropped -> dropped.era();
      case Failed failed -> LogPosition.NONE.era();
    };
  }

  /**
   * The configuration was read.
   *
   * @param configuration the newest configuration, if there is one that was not known
   * @param next place of the first record not known yet
   */
  record ConfigurationRead(Optional<GatewayConfiguration> configuration, LogPosition next)
      implements StoreAnswer {}

  /**
   * The directory of runners was read.
   *
   * @param change what was read
   */
  record DirectoryRead(DirectoryChange change) implements StoreAnswer {}

  /**
   * The addresses of nodes were read.
   *
   * @param nodes the addresses
   * @param era the store's era
   */
  record NodesRead(List<NodeAddress> nodes, long era) implements StoreAnswer {

    /** Copies the list. */
    public NodesRead {
      nodes = List.copyOf(nodes);
    }
  }

  /**
   * The store does not have the records asked for; the newest ones have to be read.
   *
   * @param era the store's era
   */
  record RecordsDropped(long era) implements StoreAnswer {}

  /**
   * The store did not answer, or refused.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements StoreAnswer {}
}
