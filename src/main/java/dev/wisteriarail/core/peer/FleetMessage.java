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

/** A message between two nodes that forward opaque requests. */
public sealed interface FleetMessage extends PeerMessage {

  /**
   * Shows that the sender lives, and what it knows.
   *
   * @param self the sender's address
   * @param known addresses of other nodes that it heard lately
   * @param status what it knows and does
   * @param leaving runs of runners that said that they leave, while the directory does not say so
   */
  record Beat(NodeAddress self, List<NodeAddress> known, PeerStatus status, List<RunnerRun> leaving)
      implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists; a node of an earlier version names no runners. */
    public Beat {
      known = List.copyOf(known);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
    }
  }

  /**
   * Tells the coordinator what the sender's callers want and where their requests run.
   *
   * @param demands one entry a model or adapter that was asked for lately
   * @param uses one entry a runner and model that serve the sender's requests
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
   * Tells a node what the coordinator knows of the engines.
   *
   * @param fence fencing number of the coordinator
   * @param views the views that changed since the node's last known revision
   * @param forecasts when models that are waited for can serve
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
   * Passes on a configuration.
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
   * Passes on a change of the directory of runners.
   *
   * @param change the change
   */
  record DirectoryTold(DirectoryChange change) implements FleetMessage {}

  /**
   * Tells that a runner's connection ended while it had a request.
   *
   * @param fingerprint identifies what the request asks
   */
  record CrashTold(long fingerprint) implements FleetMessage {}
}
