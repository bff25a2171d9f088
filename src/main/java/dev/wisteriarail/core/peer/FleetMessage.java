package dev.wisteriarail.core.peer;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.ModelForecast;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.util.List;

/** A message between two gateway nodes, which forward opaque requests. */
public sealed interface FleetMessage extends PeerMessage {

  /**
   * Heartbeat with the sender's status.
   *
   * @param self the sender's address
   * @param known addresses of other nodes from which the sender recently received messages
   * @param status the sender's status
   * @param leaving runs of runners that announced that they are leaving, while the directory does
   *     not show it yet
   */
  record Beat(NodeAddress self, List<NodeAddress> known, PeerStatus status, List<RunnerRun> leaving)
      implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists; messages of earlier versions have no list of leaving runners. */
    public Beat {
      known = List.copyOf(known);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
    }
  }

  /**
   * Reports the demand of the sender's callers, and where their requests run, to the coordinator.
   *
   * @param demands one entry per recently requested model or adapter
   * @param uses one entry per runner and model that serve the sender's requests
   * @param viewRevision newest revision of the coordinator's views that the sender has
   */
  record DemandTold(List<ModelDemand> demands, List<RunnerUse> uses, long viewRevision)
      implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists. */
    public DemandTold {
      demands = List.copyOf(demands);
      uses = List.copyOf(uses);
    }
  }

  /**
   * Sends the coordinator's view of the engines to a node.
   *
   * @param fence fencing number of the coordinator
   * @param views the views that changed since the last revision that the node reported
   * @param forecasts when the models that requests are waiting for will be ready
   */
  record FleetTold(long fence, List<RunnerView> views, List<ModelForecast> forecasts)
      implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists. */
    public FleetTold {
      views = List.copyOf(views);
      forecasts = List.copyOf(forecasts);
    }
  }

  /**
   * Forwards a configuration.
   *
   * @param configuration the configuration
   */
  record ConfigurationTold(GatewayConfiguration configuration) implements FleetMessage {

    @Override
    public boolean urgent() {
      return true;
    }
  }

  /**
   * Forwards a change of the runner directory.
   *
   * @param change the change
   */
  record DirectoryTold(DirectoryChange change) implements FleetMessage {}

  /**
   * Reports that a runner's connection was lost while it was serving a request.
   *
   * @param fingerprint identifies the content of the request
   */
  record CrashTold(long fingerprint) implements FleetMessage {}
}
