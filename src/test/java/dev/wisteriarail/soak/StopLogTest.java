package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the events that a node process logs from SIGTERM to its exit. */
final class StopLogTest {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);

  @TempDir private Path directory;

  @Test
  void stoppedProcessLogsItsStopAndItsEnd() throws Exception {
    try (PlatformStandin platform = PlatformStandin.start(1, 1)) {
      LoopbackSettings settings = LoopbackSettings.of("n0", platform.store().address());
      NodeProcess node = NodeProcess.create("n0", settings.toml(), directory);
      node.start(Duration.ZERO);
      try {
        NodeEvents.await(node, EventCode.NODE_READY);
        node.terminate();
        assertThat(node.awaitExit(TIME_LIMIT)).isTrue();
        assertThat(node.log().events())
            .containsAtLeast(
                EventCode.NODE_READY.number(),
                EventCode.NODE_DRAINING.number(),
                EventCode.NODE_STOPPED.number(),
                EventCode.NODE_ENDED.number())
            .inOrder();
      } finally {
        node.kill();
      }
    }
  }
}
