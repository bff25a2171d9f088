package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sends the full configuration or runner directory to peers whose heartbeats show that their
 * version is outdated.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class PeerSynchronizer {

  private final Duration minInterval;
  private final Map<NodeId, Instant> lastSentAt = new HashMap<>();

  private PeerSynchronizer(Duration minInterval) {
    this.minInterval = minInterval;
  }

  /**
   * Creates a synchronizer that has sent nothing yet.
   *
   * @param minInterval minimum time between two synchronizations of one peer
   */
  static PeerSynchronizer create(Duration minInterval) {
    return new PeerSynchronizer(minInterval);
  }

  /** Sends the newest state to the sender of a heartbeat if the sender's state is outdated. */
  void accept(
      FleetMessage.Beat heartbeat,
      Optional<GatewayConfiguration> configuration,
      RunnerDirectory directory,
      GatewayStep step) {
    NodeId peer = heartbeat.self().node();
    Instant last = lastSentAt.getOrDefault(peer, Instant.MIN);
    if (!last.equals(Instant.MIN) && step.now().isBefore(last.plus(minInterval))) {
      return;
    }
    boolean configurationOutdated =
        configuration
            .filter(current -> heartbeat.status().configurationVersion() < current.version())
            .isPresent();
    boolean directoryOutdated =
        directory.offset().known()
            && heartbeat.status().directoryOffset().before(directory.significantOffset());
    if (configurationOutdated) {
      send(heartbeat, new FleetMessage.ConfigurationTold(configuration.get()), step);
    }
    if (directoryOutdated) {
      send(heartbeat, new FleetMessage.DirectoryTold(directory.snapshot()), step);
    }
    if (configurationOutdated || directoryOutdated) {
      lastSentAt.put(peer, step.now());
    }
  }

  private static void send(FleetMessage.Beat to, FleetMessage message, GatewayStep step) {
    step.emit(new GatewayEffect.SendPeer(to.self(), message));
  }
}
