package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A fake of the platform's log: delays, refusals, lost answers, late appends, lag, outages,
 * retention.
 */
final class FakeLog {

  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private record StoredRecord(Instant at, LogRecord logged) {}

  private final World world;
  private final SeededRandom random;
  private final List<StoredRecord> records = new ArrayList<>();
  private final Map<NodeId, Instant> noReadsUntil = new TreeMap<>();
  private final Map<NodeId, Instant> noAppendsUntil = new TreeMap<>();
  private final Map<NodeId, Duration> lags = new TreeMap<>();
  private int firstOffset;

  FakeLog(World world) {
    this.world = world;
    random = world.random("log");
  }

  // Appends

  /** Appends a record for a node and passes the outcome to a callback. */
  void append(NodeId writer, RecordId id, RecordBody body, Consumer<AppendOutcome> answer) {
    if (isDown(noAppendsUntil, writer)) {
      refuseInOutage(answer);
    } else if (world.injectsFault(random, FaultKind.APPEND_REFUSED, 0.01)) {
      answerLater(answer, new AppendOutcome.NotAppended("refused"));
    } else if (world.injectsFault(random, FaultKind.APPEND_LOST, 0.01)) {
      world.after(TIMEOUT, () -> answer.accept(new AppendOutcome.Unknown("timed out")));
    } else if (world.injectsFault(random, FaultKind.APPEND_LATE, 0.01)) {
      world.after(TIMEOUT, () -> answer.accept(new AppendOutcome.Unknown("timed out")));
      world.after(random.nextDuration(500, 6_000), () -> store(writer.value(), id, body));
    } else {
      world.after(random.nextDuration(2, 12), () -> appendNow(writer, id, body, answer));
    }
  }

  /** Appends a record for an operator, whose tool retries until it succeeds. */
  LogRecord appendAsOperator(RecordId id, RecordBody body) {
    return store("operator", id, body);
  }

  private void appendNow(
      NodeId writer, RecordId id, RecordBody body, Consumer<AppendOutcome> answer) {
    long offset = store(writer.value(), id, body).offset();
    if (world.injectsFault(random, FaultKind.APPEND_ANSWER_LOST, 0.02)) {
      world.after(TIMEOUT, () -> answer.accept(new AppendOutcome.Unknown("answer lost")));
    } else {
      answerLater(answer, new AppendOutcome.Appended(offset));
    }
  }

  private LogRecord store(String writer, RecordId id, RecordBody body) {
    long offset = records.size();
    LogRecord logged = new LogRecord(offset, id, writer, body);
    records.add(new StoredRecord(world.now(), logged));
    world.recordNotable("log " + offset + " " + writer + " " + body);
    world.observe(new Observation.RecordAppended(logged));
    return logged;
  }

  private void refuseInOutage(Consumer<AppendOutcome> answer) {
    if (random.nextBoolean(0.5)) {
      answerLater(answer, new AppendOutcome.NotAppended("connection refused"));
    } else {
      world.after(TIMEOUT, () -> answer.accept(new AppendOutcome.Unknown("timed out")));
    }
  }

  private void answerLater(Consumer<AppendOutcome> answer, AppendOutcome outcome) {
    world.after(random.nextDuration(1, 8), () -> answer.accept(outcome));
  }

  // Reads

  /** Returns the result of a node's read from an offset. */
  Event read(NodeId reader, long from) {
    if (isDown(noReadsUntil, reader)) {
      return new Event.LogReadFailed("connection refused");
    }
    Instant visible = world.now().minus(lags.getOrDefault(reader, Duration.ZERO));
    List<LogRecord> found = new ArrayList<>();
    for (int i = (int) Math.max(from, firstOffset); i < records.size(); i++) {
      if (records.get(i).at().isAfter(visible)) {
        break;
      }
      found.add(records.get(i).logged());
    }
    long next = found.isEmpty() ? from : found.getLast().offset() + 1;
    return new Event.LogRead(found, next, firstOffset);
  }

  // Faults

  void stopReads(NodeId node, Instant until) {
    noReadsUntil.merge(node, until, FakeLog::later);
    observeOutage(node, until);
  }

  void stopAppends(NodeId node, Instant until) {
    noAppendsUntil.merge(node, until, FakeLog::later);
  }

  void lag(NodeId node, Duration lag, Duration length) {
    lags.put(node, lag);
    world.after(length, () -> lags.remove(node));
  }

  void dropOldRecords(int kept) {
    firstOffset = Math.max(firstOffset, records.size() - kept);
  }

  void heal() {
    noReadsUntil.clear();
    noAppendsUntil.clear();
    lags.clear();
  }

  // Helpers

  private void observeOutage(NodeId node, Instant until) {
    world.observe(new Observation.LogAccess(node, false));
    world.at(until, () -> observeRecovery(node));
  }

  private void observeRecovery(NodeId node) {
    if (!isDown(noReadsUntil, node)) {
      world.observe(new Observation.LogAccess(node, true));
    }
  }

  private boolean isDown(Map<NodeId, Instant> untils, NodeId node) {
    return world.now().isBefore(untils.getOrDefault(node, Instant.MIN));
  }

  private static Instant later(Instant left, Instant right) {
    return left.isAfter(right) ? left : right;
  }
}
