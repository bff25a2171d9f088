package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.util.List;
import java.util.Optional;

/** What became of a read of the platform's store. */
public sealed interface StoreAnswer {

  /**
   * The configuration was read.
   *
   * @param configuration the newest configuration, if there is one that was not known
   * @param next offset of the first record not known yet
   */
  record ConfigurationRead(Optional<GatewayConfiguration> configuration, long next)
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
   */
  record NodesRead(List<NodeAddress> nodes) implements StoreAnswer {

    /** Copies the list. */
    public NodesRead {
      nodes = List.copyOf(nodes);
    }
  }

  /** The records asked for were dropped by the store; the newest ones have to be read. */
  record RecordsDropped() implements StoreAnswer {}

  /**
   * The store did not answer, or refused.
   *
   * @param reason what went wrong
   */
  record Failed(String reason) implements StoreAnswer {}
}
