package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Requests a trial run of the codec on the long peer messages, once, some time after the node is
 * ready.
 *
 * <p>The first message of a type takes about ten times as long to encode and decode as later ones:
 * more than 100 ms of a core. Without the warm-up, the first configuration change after a start
 * keeps a coordinator on a small VM silent for longer than the timeout of its peers.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CodecWarmUp {

  /** Delay after readiness, so that the warm-up does not slow down the first requests. */
  private static final Duration DELAY = Duration.ofSeconds(3);

  private Instant dueAt = Instant.MAX;
  private boolean done;

  private CodecWarmUp() {}

  static CodecWarmUp create() {
    return new CodecWarmUp();
  }

  /** Schedules the warm-up for some time after the node became ready. */
  void scheduleFrom(Instant readyAt) {
    if (!done && dueAt.equals(Instant.MAX)) {
      dueAt = readyAt.plus(DELAY);
    }
  }

  void advance(
      Optional<GatewayConfiguration> configuration, RunnerDirectory directory, GatewayStep step) {
    if (done || step.now().isBefore(dueAt) || configuration.isEmpty()) {
      return;
    }
    done = true;
    step.emit(
        new GatewayEffect.WarmUpCodec(new FleetMessage.ConfigurationTold(configuration.get())));
    step.emit(new GatewayEffect.WarmUpCodec(new FleetMessage.DirectoryTold(directory.snapshot())));
  }
}
