package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.placement.FixedTimeoutPlanner;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Several node cores that share a simulated log, with fault injection for its appends. Time
 * advances only through the methods of this class.
 */
final class RequestFleet {

  /** The result of an append of intents. */
  enum LogFault {
    /** The append succeeds. */
    NONE,
    /** The record is appended, but the answer is lost. */
    ANSWER_LOST,
    /** The record is not appended, and the answer reports this. */
    REFUSED,
    /** The answer reports a failure, but the record is appended later by releaseLateRecords. */
    REFUSED_BUT_LATE
  }

  final Map<NodeId, NodeCore> cores = new TreeMap<>();
  final Map<NodeId, List<Effect>> effects = new TreeMap<>();
  final List<LogRecord> log = new ArrayList<>();
  final List<Effect.Dispatch> dispatches = new ArrayList<>();
  final Set<NodeId> paused = new TreeSet<>();
  LogFault fault = LogFault.NONE;
  boolean logDown;
  Instant now = Instant.parse("2026-01-01T00:00:00Z");

  private List<Event> reports = List.of();
  private final Map<NodeId, Long> offsets = new TreeMap<>();
  private final Map<NodeId, List<Event>> inbox = new TreeMap<>();
  private final List<Runnable> lateAppends = new ArrayList<>();

  static RequestFleet start(int nodes, Section section, List<Event> reports) {
    RequestFleet fleet = new RequestFleet();
    fleet.reports = reports;
    fleet.append(
        RecordId.of("configuration"),
        new RecordBody.ConfigurationChanged(Revision.NONE, section, "test", "start"));
    for (int i = 1; i <= nodes; i++) {
      fleet.boot(node(i), 1);
    }
    List<VmEntry> list = fleet.cores.keySet().stream().map(RequestFleet::entry).toList();
    for (NodeId id : fleet.cores.keySet()) {
      fleet.feed(id, new Event.VmListRead(list));
      reports.forEach(report -> fleet.feed(id, report));
    }
    fleet.settle();
    return fleet;
  }

  static NodeId node(int number) {
    return NodeId.of("n" + number);
  }

  void boot(NodeId id, long incarnation) {
    NodeSettings settings =
        new NodeSettings(
            id,
            Incarnation.of(incarnation),
            FailureDomain.of("fd1"),
            CellId.of("main"),
            1,
            Timings.DEFAULT);
    cores.put(
        id, NodeCore.create(settings, FixedTimeoutPlanner.withTimeout(Duration.ofMinutes(5))));
    offsets.put(id, 0L);
    inbox.put(id, new ArrayList<>());
    effects.computeIfAbsent(id, key -> new ArrayList<>());
  }

  private static VmEntry entry(NodeId id) {
    return new VmEntry(id, "127.0.0.1", 1, FailureDomain.of("fd1"), false);
  }

  // Time

  /** Delivers log records and queued events until none are left. */
  void settle() {
    boolean busy = true;
    while (busy) {
      busy = false;
      for (NodeId id : List.copyOf(cores.keySet())) {
        if (!paused.contains(id)) {
          busy |= deliver(id);
        }
      }
    }
  }

  private boolean deliver(NodeId id) {
    long from = offsets.get(id);
    if (!logDown && from < log.size()) {
      offsets.put(id, (long) log.size());
      List<LogRecord> read = List.copyOf(log.subList((int) from, log.size()));
      inbox.get(id).add(new Event.LogRead(read, log.size(), 0));
    }
    List<Event> due = List.copyOf(inbox.get(id));
    inbox.get(id).clear();
    due.forEach(event -> feed(id, event));
    return !due.isEmpty();
  }

  void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      Instant next = now.plusMillis(10);
      now = next.isBefore(end) ? next : end;
      for (NodeId id : cores.keySet()) {
        if (!paused.contains(id)) {
          inbox.get(id).addAll(reports);
          inbox.get(id).add(logDown ? new Event.LogReadFailed("down") : new Event.TimerFired());
        }
      }
      settle();
    }
  }

  // Events

  void feed(NodeId id, Event event) {
    List<Effect> started = cores.get(id).handle(event, now);
    effects.get(id).addAll(started);
    started.forEach(effect -> perform(id, effect));
  }

  void send(int node, InboundRequest request) {
    feed(node(node), new Event.RequestArrived(request));
    settle();
  }

  void answer(Effect.Dispatch dispatch, String text, int status) {
    NodeId owner = ownerOf(dispatch.attempt());
    feed(owner, new Event.AttemptProgressed(dispatch.attempt(), 0, text));
    end(dispatch, new AttemptOutcome.Completed(status));
  }

  void end(Effect.Dispatch dispatch, AttemptOutcome outcome) {
    feed(ownerOf(dispatch.attempt()), new Event.AttemptEnded(dispatch.attempt(), outcome));
    settle();
  }

  private static NodeId ownerOf(AttemptId attempt) {
    String name = attempt.value();
    return NodeId.of(name.substring(0, name.indexOf('.')));
  }

  void kill(int node) {
    cores.remove(node(node));
  }

  void releaseLateRecords() {
    lateAppends.forEach(Runnable::run);
    lateAppends.clear();
    settle();
  }

  private void perform(NodeId from, Effect effect) {
    switch (effect) {
      case Effect.Append append -> performAppend(from, append);
      case Effect.SendPeer send -> {
        if (cores.containsKey(send.to())) {
          inbox.get(send.to()).add(new Event.PeerReceived(from, Incarnation.of(1), send.message()));
        }
      }
      case Effect.Dispatch dispatch -> dispatches.add(dispatch);
      default -> {}
    }
  }

  private void performAppend(NodeId from, Effect.Append append) {
    LogFault applied = append.body() instanceof RecordBody.IntentBatch ? fault : LogFault.NONE;
    AppendOutcome outcome =
        switch (logDown ? LogFault.REFUSED : applied) {
          case NONE -> new AppendOutcome.Appended(append(append.record(), append.body()));
          case ANSWER_LOST -> {
            append(append.record(), append.body());
            yield new AppendOutcome.Unknown("answer lost");
          }
          case REFUSED -> new AppendOutcome.NotAppended("refused");
          case REFUSED_BUT_LATE -> {
            lateAppends.add(() -> append(append.record(), append.body()));
            yield new AppendOutcome.NotAppended("refused");
          }
        };
    inbox.get(from).add(new Event.AppendAnswered(append.record(), outcome));
  }

  private long append(RecordId id, RecordBody body) {
    long offset = log.size();
    log.add(new LogRecord(offset, id, "test", body));
    return offset;
  }

  // Accessors

  Optional<RequestOutcome> ending(RequestId request) {
    return endings(request).stream().findFirst();
  }

  List<RequestOutcome> endings(RequestId request) {
    return effects.values().stream()
        .flatMap(List::stream)
        .filter(Effect.EndRequest.class::isInstance)
        .map(Effect.EndRequest.class::cast)
        .filter(end -> end.request().equals(request))
        .map(Effect.EndRequest::ending)
        .toList();
  }

  String answered(RequestId request) {
    StringBuilder text = new StringBuilder();
    effects.values().stream()
        .flatMap(List::stream)
        .filter(Effect.AnswerChunk.class::isInstance)
        .map(Effect.AnswerChunk.class::cast)
        .filter(chunk -> chunk.request().equals(request))
        .forEach(chunk -> text.append(chunk.text()));
    return text.toString();
  }

  long intentAppends() {
    return log.stream().filter(entry -> entry.body() instanceof RecordBody.IntentBatch).count();
  }
}
