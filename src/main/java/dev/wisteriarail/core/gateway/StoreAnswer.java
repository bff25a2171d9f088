package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.TenantFault;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Result of a read of the platform's store. */
public sealed interface StoreAnswer {

  /** Returns the era of the store that responded, or -1 if it is unknown. */
  default long era() {
    return switch (this) {
      case ConfigurationRead read -> read.next().era();
      case DirectoryRead read -> read.change().to().era();
      case NodesRead read -> read.era();
      case CrashRefusalsRead read -> read.era();
      case RecordsDropped dropped -> dropped.era();
      case Failed failed -> LogPosition.NONE.era();
    };
  }

  /**
   * The configuration was read.
   *
   * @param configuration the newest configuration; empty if there is no newer one than the known
   *     one
   * @param next position of the first record that is not known yet
   * @param faults the configurations that were ignored because they are invalid: why
   */
  record ConfigurationRead(
      Optional<GatewayConfiguration> configuration, LogPosition next, List<TenantFault> faults)
      implements StoreAnswer {

    /** Copies the list. */
    public ConfigurationRead {
      faults = List.copyOf(faults);
    }

    /** Creates the result of a read in which every configuration was valid. */
    public ConfigurationRead(Optional<GatewayConfiguration> configuration, LogPosition next) {
      this(configuration, next, List.of());
    }
  }

  /**
   * The directory of runners was read.
   *
   * @param change the entries that were read
   * @param unreadable the newest entries that name no usable runner: why, by identifier
   */
  record DirectoryRead(DirectoryChange change, Map<String, String> unreadable)
      implements StoreAnswer {

    /** Copies the map. */
    public DirectoryRead {
      unreadable = Map.copyOf(unreadable);
    }

    /** Creates the result of a read in which every entry was readable. */
    public DirectoryRead(DirectoryChange change) {
      this(change, Map.of());
    }
  }

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
   * The refusals of requests that crash runners were read.
   *
   * @param refusals the refusals that are in force
   * @param era the store's era
   */
  record CrashRefusalsRead(List<CrashRefusal> refusals, long era) implements StoreAnswer {

    /** Copies the list. */
    public CrashRefusalsRead {
      refusals = List.copyOf(refusals);
    }
  }

  /**
   * The store no longer has the requested records; the newest ones have to be read.
   *
   * @param era the store's era
   */
  record RecordsDropped(long era) implements StoreAnswer {}

  /**
   * The store did not respond or refused the read.
   *
   * @param reason description of the failure
   */
  record Failed(String reason) implements StoreAnswer {}
}
