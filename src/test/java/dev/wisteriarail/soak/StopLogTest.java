package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the events that a node process logs from SIGTERM to its exit. */
final class StopLogTest {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);
  private static final long POLL_NANOS = 20_000_000;

  @TempDir private Path directory;

  @Test
  void stoppedProcessLogsItsStopAndItsEnd() throws Exception {
    try (PlatformStandin platform = PlatformStandin.start(1, 1)) {
      LoopbackSettings settings = LoopbackSettings.of("n0", platform.store().address());
      NodeProcess node = NodeProcess.create("n0", settings.toml(), directory);
      node.start(Duration.ZERO);
      try {
        awaitEvent(EventCode.NODE_READY);
        node.terminate();
        assertThat(node.awaitExit(TIME_LIMIT)).isTrue();
        assertThat(events())
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

  private void awaitEvent(EventCode event) throws IOException {
    long deadline = System.nanoTime() + TIME_LIMIT.toNanos();
    while (!events().contains(event.number())) {
      assertThat(System.nanoTime()).isLessThan(deadline);
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  /** Returns the numbers of the logged events in order. */
  private List<Integer> events() throws IOException {
    Path log = directory.resolve("n0.log");
    if (!Files.exists(log)) {
      return List.of();
    }
    return Files.readAllLines(log).stream()
        .filter(line -> line.contains("\"event\":\""))
        .map(line -> line.replaceAll(".*\"event\":\"(\\d+)\".*", "$1"))
        .map(Integer::parseInt)
        .toList();
  }
}
