package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Has the long messages between nodes encoded and decoded once, some time after a node is ready.
 *
 * <p>The load pattern that it answers: the first change of the configuration after a start. The
 * first message of its kind costs about ten times as much as the later ones, more than a tenth of a
 * second of a core; on a small VM the coordinator then falls silent for longer than its peers wait.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class CodecWarmUp {

  /** Time after which a node that is ready has done what callers wait for after its start. */
  private static final Duration DELAY = Duration.ofSeconds(3);

  private Instant dueAt = Instant.MAX;
  private boolean done;

  private CodecWarmUp() {}

  static CodecWarmUp create() {
    return new CodecWarmUp();
  }

  /** Notes that the node is ready. */
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
