package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.standin.LoopbackSettings;
import dev.wisteriarail.standin.PlatformStandin;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that signals during the start of a node process are handled once it has started. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class StartSignalTest {

  private static final Duration EXIT_LIMIT = Duration.ofSeconds(60);

  @TempDir private Path directory;
  private PlatformStandin platform;
  private LoopbackSettings settings;
  private NodeProcess node;

  @BeforeEach
  void createNode() throws Exception {
    platform = PlatformStandin.start(1, 1);
    settings = LoopbackSettings.of("n0", platform.store().address());
    node = NodeProcess.create("n0", settings.toml(), directory);
  }

  @AfterEach
  void end() throws Exception {
    node.kill();
    platform.close();
  }

  @Test
  void hangupWhileTheSettingsAreReadDoesNotEndTheProcess() throws Exception {
    try (OutputStream pipe = startWithSettingsFromPipe()) {
      node.signal("HUP");
      pipe.write(settings.toml().getBytes(UTF_8));
    }
    NodeEvents.await(node, EventCode.NODE_READY);
    assertSettingsReloaded();
  }

  @Test
  void nodeThatIsTerminatedWhileItsSettingsAreReadNeverServes() throws Exception {
    try (OutputStream pipe = startWithSettingsFromPipe()) {
      node.terminate();
      pipe.write(settings.toml().getBytes(UTF_8));
    }
    assertThat(node.awaitExit(EXIT_LIMIT)).isTrue();
    assertThat(node.log().contains(EventCode.NODE_READY)).isFalse();
  }

  @ParameterizedTest
  @EnumSource(names = {"NODE_STARTED", "NODE_READY"})
  void hangupAfterAnEventOfTheStartDoesNotEndTheProcess(EventCode event) throws Exception {
    node.start(Duration.ZERO);
    NodeEvents.await(node, event);
    changeSettings();
    node.signal("HUP");
    NodeEvents.await(node, EventCode.NODE_READY);
    assertSettingsReloaded();
  }

  /** The ports are numbered in the order of {@link LoopbackSettings}. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void hangupWhileAnAddressIsInUseDoesNotEndTheProcess(int listener) throws Exception {
    List<Integer> ports =
        List.of(
            settings.callerPort(),
            settings.balancerPort(),
            settings.peerPort(),
            settings.metricsPort());
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket _ = new ServerSocket(ports.get(listener), 1, loopback)) {
      node.start(Duration.ZERO);
      NodeEvents.await(node, EventCode.ADDRESS_UNAVAILABLE);
      changeSettings();
      node.signal("HUP");
    }
    NodeEvents.await(node, EventCode.NODE_READY);
    assertSettingsReloaded();
  }

  private void assertSettingsReloaded() throws Exception {
    NodeEvents.await(node, EventCode.NODE_RELOADED);
    assertThat(node.log().lines(EventCode.NODE_RELOADED).getFirst()).contains("retries.ratio");
    assertThat(node.isAlive()).isTrue();
  }

  private void changeSettings() throws Exception {
    node.writeSettings(settings.withRetryRatio(0.1).toml());
  }

  /**
   * Starts the process with a pipe as its settings file, waits until it reads from the pipe, and
   * replaces the file by one with changed settings.
   */
  private OutputStream startWithSettingsFromPipe() throws Exception {
    Path file = directory.resolve("n0.toml");
    Path changed = directory.resolve("changed.toml");
    changeSettings();
    Files.move(file, changed);
    assertThat(new ProcessBuilder("mkfifo", file.toString()).start().waitFor()).isEqualTo(0);
    node.start(Duration.ZERO);
    OutputStream pipe = Files.newOutputStream(file);
    Files.move(changed, file, StandardCopyOption.REPLACE_EXISTING);
    return pipe;
  }
}
