package dev.wisteriarail.standin;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A stand-in for the platform's VM list, which serves {@code GET /nodes} and {@code PUT /nodes}.
 * Thread-safe.
 */
public final class VmListStandin implements AutoCloseable {

  private final Map<NodeId, VmEntry> nodes = new ConcurrentSkipListMap<>();
  private final StandinServer server;

  private VmListStandin(Endpoint endpoint, long seed) throws SettingsException {
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts an empty list.
   *
   * @throws SettingsException if the port cannot be bound
   */
  public static VmListStandin start(Endpoint endpoint, long seed) throws SettingsException {
    return new VmListStandin(endpoint, seed);
  }

  private void serve(Call call) throws IOException {
    if (!call.path().equals("/nodes")) {
      call.reply(404, "no such path\n");
      return;
    }
    if (call.method().equals("PUT")) {
      put(call.body(VmEntry.class));
    }
    call.replyJson(List.copyOf(nodes.values()));
  }

  /** Adds a node or replaces its entry. */
  public void put(VmEntry entry) {
    nodes.put(entry.node(), entry);
  }

  /** Removes a node. */
  public void remove(NodeId node) {
    nodes.remove(node);
  }

  /** Returns the server, which holds the address and the faults. */
  public StandinServer server() {
    return server;
  }

  @Override
  public void close() {
    server.close();
  }
}
