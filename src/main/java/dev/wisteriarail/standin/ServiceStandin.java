package dev.wisteriarail.standin;

import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for an application runner with plain services under {@code /services/{name}/…}.
 *
 * <p>It counts the executions of each idempotency key. Thread-safe.
 */
public final class ServiceStandin implements AutoCloseable {

  private final RunnerId runner;
  private final boolean deduplicates;
  private final StandinServer server;
  private final Incarnation incarnation = Incarnation.of(System.nanoTime());
  private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();

  private ServiceStandin(Endpoint endpoint, long seed, RunnerId runner, boolean deduplicates)
      throws SettingsException {
    this.runner = runner;
    this.deduplicates = deduplicates;
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts a runner.
   *
   * @param deduplicates whether requests with the same key run only once
   * @throws SettingsException if the port cannot be bound
   */
  public static ServiceStandin start(
      Endpoint endpoint, long seed, RunnerId runner, boolean deduplicates)
      throws SettingsException {
    return new ServiceStandin(endpoint, seed, runner, deduplicates);
  }

  private void serve(Call call) throws IOException {
    if (call.path().equals("/report")) {
      call.replyJson(
          new EngineReport(runner, incarnation, FencingNumber.NONE, false, 0, 0, 0, List.of()));
      return;
    }
    if (call.path().equals("/counters")) {
      call.replyJson(runsByKey);
      return;
    }
    if (!call.path().startsWith("/services/")) {
      call.reply(404, "no such path\n");
      return;
    }
    String body = call.body();
    call.header("Idempotency-Key").ifPresent(this::countRun);
    if (!server.shouldLoseAnswer()) {
      call.reply(200, "{\"ran\":" + (body.isEmpty() ? "null" : body) + "}");
    }
  }

  private void countRun(String key) {
    runsByKey.merge(key, 1, (runs, one) -> deduplicates ? runs : runs + one);
  }

  /** Returns the number of executions with a key. */
  public int runs(String key) {
    return runsByKey.getOrDefault(key, 0);
  }

  /** Returns the number of executions with any key. */
  public int totalRuns() {
    return runsByKey.values().stream().mapToInt(Integer::intValue).sum();
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
