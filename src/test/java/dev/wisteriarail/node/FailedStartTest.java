package dev.wisteriarail.node;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.runtime.ListenerBinder;
import dev.wisteriarail.runtime.SteppedClock;
import dev.wisteriarail.settings.NodeFile;
import dev.wisteriarail.settings.TomlDocument;
import dev.wisteriarail.standin.FreePorts;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a node that cannot bind one of its addresses leaves none open. */
final class FailedStartTest {

  @ParameterizedTest
  @ValueSource(strings = {"http", "peer"})
  void startThatCannotBindAnAddressNamesItAndLeavesNoneOpen(String held) throws Exception {
    int http = FreePorts.next();
    int peer = FreePorts.next();
    int port = held.equals("http") ? http : peer;
    try (ServerSocket _ = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      NodeFile file = file(http, peer);
      SteppedClock clock = new SteppedClock();
      SettingsException failure =
          assertThrows(
              SettingsException.class,
              () ->
                  Node.start(
                      file, log -> ListenerBinder.create(event -> {}, clock, clock, () -> false)));
      assertThat(failure.code()).isEqualTo(ResultCode.ADDRESS_UNAVAILABLE);
      assertThat(failure.describe()).contains(held + ".port: cannot listen on 127.0.0.1:" + port);
    }
    assertCanBeBound(http);
    assertCanBeBound(peer);
  }

  private static void assertCanBeBound(int port) throws Exception {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }
  }

  private static NodeFile file(int http, int peer) throws SettingsException {
    String text =
        """
        [node]
        id = "n0"
        failure_domain = "a"
        [http]
        host = "127.0.0.1"
        port = %d
        [peer]
        host = "127.0.0.1"
        port = %d
        [log]
        address = "http://127.0.0.1:1"
        [vm_list]
        address = "http://127.0.0.1:1"
        """
            .formatted(http, peer);
    return NodeFile.from(TomlDocument.parse("n0.toml", text));
  }
}
