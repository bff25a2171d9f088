package dev.wisteriarail.standin;

import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.settings.Endpoint;
import dev.wisteriarail.spi.LogBatch;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for the platform's log, which serves {@code POST /append} and {@code GET /read}.
 *
 * <p>The log keeps only the newest records, up to the retention count. Thread-safe.
 */
public final class LogStandin implements AutoCloseable {

  private static final int MAX_RECORDS_PER_READ = 1_000;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private final int retention;
  private final StandinServer server;
  private long nextOffset;

  private LogStandin(Endpoint endpoint, long seed, int retention) throws SettingsException {
    this.retention = retention;
    server = StandinServer.start(endpoint, seed, this::serve);
  }

  /**
   * Starts a log without records.
   *
   * @param retention maximum number of records to keep
   * @throws SettingsException if the port cannot be bound
   */
  public static LogStandin start(Endpoint endpoint, long seed, int retention)
      throws SettingsException {
    return new LogStandin(endpoint, seed, retention);
  }

  private void serve(Call call) throws IOException, InterruptedException {
    switch (call.path()) {
      case "/append" -> append(call);
      case "/read" -> call.replyJson(read(call.query("from", 0), call.query("wait_ms", 0)));
      default -> call.reply(404, "no such path\n");
    }
  }

  private void append(Call call) throws IOException {
    long offset = append(call.body(LogRecord.class));
    if (!server.shouldLoseAnswer()) {
      call.reply(200, Long.toString(offset));
    }
  }

  private synchronized long append(LogRecord proposed) {
    long offset = nextOffset;
    nextOffset++;
    records.add(new LogRecord(offset, proposed.id(), proposed.writer(), proposed.body()));
    if (records.size() > retention) {
      records.removeFirst();
    }
    notifyAll();
    return offset;
  }

  private synchronized LogBatch read(long from, long waitMillis) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    long remainingNanos = deadline - System.nanoTime();
    while (from >= nextOffset && remainingNanos > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
      remainingNanos = deadline - System.nanoTime();
    }
    List<LogRecord> found =
        records.stream()
            .filter(logged -> logged.offset() >= from)
            .limit(MAX_RECORDS_PER_READ)
            .toList();
    long next = found.isEmpty() ? Math.max(from, 0) : found.getLast().offset() + 1;
    return new LogBatch(found, next, nextOffset - records.size());
  }

  // Accessors

  /** Returns the retained records. */
  public synchronized List<LogRecord> records() {
    return List.copyOf(records);
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
