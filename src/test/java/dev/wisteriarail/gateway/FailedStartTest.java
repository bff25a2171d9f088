package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.platform.CallerHeaders;
import dev.wisteriarail.platform.HttpPlatformClient;
import dev.wisteriarail.platform.RunnerHeaders;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.SteppedClock;
import dev.wisteriarail.settings.GatewayFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.LoopbackSettings;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that a node that cannot bind one of its addresses leaves nothing open. */
final class FailedStartTest {

  /** A listener of a gateway node; the name in lower case is the key of its address. */
  enum Listener {
    CALLERS,
    BALANCER,
    METRICS,
    PEERS;

    private String key() {
      return "gateway." + name().toLowerCase(Locale.ROOT);
    }

    private int port(LoopbackSettings settings) {
      return switch (this) {
        case CALLERS -> settings.callerPort();
        case BALANCER -> settings.balancerPort();
        case METRICS -> settings.metricsPort();
        case PEERS -> settings.peerPort();
      };
    }
  }

  @ParameterizedTest
  @EnumSource(Listener.class)
  void startThatCannotBindAnAddressNamesItAndLeavesNothingOpen(Listener held) throws Exception {
    LoopbackSettings settings = LoopbackSettings.of("n0", "127.0.0.1:1");
    GatewayFile file = GatewayFile.from(TomlDocument.parse("n0", settings.toml()));
    Set<Thread> before = threads();
    int port = held.port(settings);
    try (ServerSocket _ = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      SettingsException failure = assertThrows(SettingsException.class, () -> start(file));
      assertThat(failure.code()).isEqualTo(ResultCode.ADDRESS_UNAVAILABLE);
      assertThat(failure.describe()).contains(held.key() + ": cannot listen on 127.0.0.1:" + port);
    }
    for (Listener listener : Listener.values()) {
      assertCanBeBound(listener.port(settings));
    }
    Set<Thread> left = new HashSet<>(threads());
    left.removeAll(before);
    assertThat(left).isEmpty();
  }

  private static void start(GatewayFile file) throws SettingsException {
    SteppedClock clock = new SteppedClock();
    GatewayNode.start(
        file,
        CallerHeaders.create(),
        RunnerHeaders.create(),
        HttpPlatformClient::create,
        log -> ListenerBinder.create(event -> {}, clock, clock, () -> false));
  }

  private static void assertCanBeBound(int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException failure) {
      assertWithMessage("port %s is free: %s", port, failure).fail();
    }
  }

  /** Returns the live threads of nodes in this process. */
  private static Set<Thread> threads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().matches("(io|timer|event-log).*"))
        .collect(Collectors.toSet());
  }
}
