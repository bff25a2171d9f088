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
 * Sends peers the whole of what they lack, as their heartbeats tell it.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class PeerHelp {

  private final Duration pause;
  private final Map<NodeId, Instant> helpedAt = new HashMap<>();

  private PeerHelp(Duration pause) {
    this.pause = pause;
  }

  /**
   * Returns help for no peer yet.
   *
   * @param pause least time between two messages of this kind to a peer
   */
  static PeerHelp create(Duration pause) {
    return new PeerHelp(pause);
  }

  /** Helps the sender of a heartbeat if it is behind. */
  void accept(
      FleetMessage.Beat beat,
      Optional<GatewayConfiguration> configuration,
      RunnerDirectory directory,
      GatewayStep step) {
    NodeId peer = beat.self().node();
    Instant last = helpedAt.getOrDefault(peer, Instant.MIN);
    if (!last.equals(Instant.MIN) && step.now().isBefore(last.plus(pause))) {
      return;
    }
    boolean old =
        configuration
            .filter(known -> beat.status().configurationVersion() < known.version())
            .isPresent();
    boolean behind =
        directory.offset().known()
            && beat.status().directoryOffset().before(directory.materialOffset());
    if (old) {
      send(beat, new FleetMessage.ConfigurationTold(configuration.get()), step);
    }
    if (behind) {
      send(beat, new FleetMessage.DirectoryTold(directory.whole()), step);
    }
    if (old || behind) {
      helpedAt.put(peer, step.now());
    }
  }

  private static void send(FleetMessage.Beat to, FleetMessage message, GatewayStep step) {
    step.emit(new GatewayEffect.SendPeer(to.self(), message));
  }
}
