package dev.wisteriarail.standin;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports on loopback for processes that are started later.
 *
 * <p>They lie below those that the system hands out for connections: a port that was only tried
 * there is often taken before its process starts (a soak found one). Each process begins at another
 * place of the range. Thread-safe.
 */
public final class FreePorts {

  private static final int FIRST_PORT = 20_000;
  private static final int PORT_COUNT = 12_000;

  /** Ports between the beginnings of two processes with neighbouring identifiers. */
  private static final int STRIDE = 97;

  private static final AtomicInteger NEXT_INDEX =
      new AtomicInteger((int) (ProcessHandle.current().pid() * STRIDE % PORT_COUNT));

  private FreePorts() {}

  /**
   * Returns a port that nobody listens on and that this process has not returned lately.
   *
   * @throws SettingsException if all are taken
   */
  public static int next() throws SettingsException {
    for (int tries = 0; tries < PORT_COUNT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_INDEX.getAndIncrement(), PORT_COUNT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        // Somebody listens there; the next one may be free.
      }
    }
    throw new SettingsException(ResultCode.SETTINGS_INVALID, "port", "no free port on loopback");
  }
}
