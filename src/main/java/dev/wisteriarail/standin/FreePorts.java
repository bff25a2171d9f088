package dev.wisteriarail.standin;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports for processes that are started later.
 *
 * <p>The ports lie below the system's range of ephemeral ports, because another connection often
 * takes a port of that range between the check and the start of its process, which has failed a
 * soak. Each process begins the search at another offset of the range. Thread-safe.
 */
public final class FreePorts {

  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 12_000;

  /** Distance between the first ports of two processes with consecutive process identifiers. */
  private static final int STRIDE = 97;

  private static final AtomicInteger NEXT_INDEX =
      new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns a port without a listener that this process has not returned in its last pass of the
   * range.
   *
   * @throws SettingsException if no port is free
   */
  public static int next() throws SettingsException {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // The port is in use; try the next one.
      }
    }
    throw new SettingsException(ResultCode.SETTINGS_INVALID, "port", "no free port on loopback");
  }
}
