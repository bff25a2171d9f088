package dev.wisteriarail.core.peer;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.ModelDemand;
import dev.wisteriarail.core.fleet.ModelForecast;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.fleet.RunnerRun;
import dev.wisteriarail.core.fleet.RunnerUse;
import dev.wisteriarail.core.fleet.RunnerView;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.CrashReport;
import dev.wisteriarail.core.forward.RequestTrait;
import dev.wisteriarail.core.forward.RunnerLoss;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.ShareGrant;
import dev.wisteriarail.core.tenant.TenantOwner;
import dev.wisteriarail.core.tenant.TenantUse;
import java.util.List;
import java.util.Optional;

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
   * @param refusals which requests the sender refuses because they crash runners; empty in most
   *     heartbeats
   * @param crashes the newest evidence about such requests; empty in most heartbeats
   */
  record Beat(
      NodeAddress self,
      List<NodeAddress> known,
      PeerStatus status,
      List<RunnerRun> leaving,
      List<CrashRefusal> refusals,
      List<CrashReport> crashes)
      implements FleetMessage {

    /** Returns a heartbeat without refusals and crashes. */
    public static Beat of(
        NodeAddress self, List<NodeAddress> known, PeerStatus status, List<RunnerRun> leaving) {
      return new Beat(self, known, status, leaving, List.of(), List.of());
    }

    /** Returns this heartbeat with refusals and crashes. */
    public Beat with(List<CrashRefusal> newRefusals, List<CrashReport> newCrashes) {
      return new Beat(self, known, status, leaving, newRefusals, newCrashes);
    }

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists; messages of earlier versions lack the last ones. */
    public Beat {
      known = List.copyOf(known);
      leaving = leaving == null ? List.of() : List.copyOf(leaving);
      refusals = refusals == null ? List.of() : List.copyOf(refusals);
      crashes = crashes == null ? List.of() : List.copyOf(crashes);
    }
  }

  /**
   * Reports the demand of the sender's callers, and where their requests run, to the coordinator.
   *
   * @param demands one entry per recently requested model or adapter
   * @param uses one entry per runner and model that serve the sender's requests
   * @param viewRevision newest revision of the coordinator's views that the sender has
   * @param tenants what limited tenants demand of the sender; empty without such tenants
   * @param owner whether the sender owns a tenant
   */
  record DemandTold(
      List<ModelDemand> demands,
      List<RunnerUse> uses,
      long viewRevision,
      List<TenantUse> tenants,
      boolean owner)
      implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists; messages of earlier versions lack the last one. */
    public DemandTold {
      demands = List.copyOf(demands);
      uses = List.copyOf(uses);
      tenants = tenants == null ? List.of() : List.copyOf(tenants);
    }
  }

  /**
   * Sends the coordinator's view of the engines to a node.
   *
   * @param fence fencing number of the coordinator
   * @param views the views that changed since the last revision that the node reported
   * @param forecasts when the models that requests are waiting for will be ready
   * @param grants shares of tenants' allowances for the receiver; empty without limited tenants
   */
  record FleetTold(
      long fence, List<RunnerView> views, List<ModelForecast> forecasts, List<ShareGrant> grants)
      implements FleetMessage {

    /** Returns a message without grants. */
    public static FleetTold of(long fence, List<RunnerView> views, List<ModelForecast> forecasts) {
      return new FleetTold(fence, views, forecasts, List.of());
    }

    /** Returns this message with grants. */
    public FleetTold with(List<ShareGrant> newGrants) {
      return new FleetTold(fence, views, forecasts, newGrants);
    }

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the lists; messages of earlier versions lack the last one. */
    public FleetTold {
      views = List.copyOf(views);
      forecasts = List.copyOf(forecasts);
      grants = grants == null ? List.of() : List.copyOf(grants);
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
   * Asks the owner of a tenant for the cost of a request that the sender's share does not hold.
   *
   * @param number number of the request on the sender
   * @param tenant name of the tenant
   * @param cost cost of the request
   * @param patienceMillis time for which the request may wait
   */
  record AllowanceAsked(long number, String tenant, double cost, long patienceMillis)
      implements FleetMessage {

    @Override
    public boolean urgent() {
      return true;
    }
  }

  /**
   * Answers {@link AllowanceAsked}.
   *
   * @param number number of the request on the receiver
   * @param granted whether the cost was taken
   * @param delayMillis time after which a granted request may be served, or until the owner holds
   *     the cost; 0 for a request that was not granted if this is unknown
   */
  record AllowanceAnswered(long number, boolean granted, long delayMillis) implements FleetMessage {

    @Override
    public boolean urgent() {
      return true;
    }
  }

  /**
   * Returns the cost of a request that the owner of its tenant granted and that did not run.
   *
   * @param tenant name of the tenant
   * @param cost cost of the request
   */
  record AllowanceReturned(String tenant, double cost) implements FleetMessage {}

  /**
   * Tells which nodes own the tenants.
   *
   * @param fence fencing number of the coordinator
   * @param owners the owners of all limited tenants
   */
  record OwnersTold(long fence, List<TenantOwner> owners) implements FleetMessage {

    @Override
    public boolean isRepeated() {
      return true;
    }

    /** Copies the list. */
    public OwnersTold {
      owners = List.copyOf(owners);
    }
  }

  /**
   * Evidence about requests that crash runners.
   *
   * @param fingerprint identifies the content of a lost request, for earlier versions, which know
   *     nothing else; 0 if no request was lost
   * @param lost a request that was lost at a runner
   * @param refuted a loss that was no crash
   * @param sound parts of prompts that were suspected and do not crash runners
   */
  record CrashTold(
      long fingerprint,
      Optional<CrashReport> lost,
      Optional<RunnerLoss> refuted,
      List<RequestTrait> sound)
      implements FleetMessage {

    /** Copies the list; messages of earlier versions have a fingerprint only. */
    public CrashTold {
      lost = lost == null ? Optional.empty() : lost;
      refuted = refuted == null ? Optional.empty() : refuted;
      sound = sound == null ? List.of() : List.copyOf(sound);
    }

    /** Returns whether the sender knows nothing but the fingerprint. */
    public boolean isOfEarlierVersion() {
      return lost.isEmpty() && refuted.isEmpty() && sound.isEmpty();
    }

    /** Returns the report of a lost request. */
    public static CrashTold ofLost(long fingerprint, CrashReport report) {
      return new CrashTold(fingerprint, Optional.of(report), Optional.empty(), List.of());
    }

    /** Returns the report of a loss that was no crash. */
    public static CrashTold ofRefuted(RunnerLoss loss) {
      return new CrashTold(0, Optional.empty(), Optional.of(loss), List.of());
    }

    /** Returns the report of parts that do not crash runners. */
    public static CrashTold ofSound(List<RequestTrait> parts) {
      return new CrashTold(0, Optional.empty(), Optional.empty(), parts);
    }
  }
}
