package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that each request is served or refused in time and gets exactly one outcome.
 *
 * <p>Nothing is due while a node is paused; when it resumes, it has the slack again. A request sent
 * to a paused node arrives when the node resumes.
 */
final class OutcomeCheck implements Check {

  /** Time after its deadline by which a request must have a first chunk or its outcome. */
  private static final Duration SLACK = Duration.ofSeconds(2);

  /** Time after a chunk by which a request must have the next chunk or its outcome. */
  private static final Duration STALL_LIMIT = Duration.ofSeconds(15);

  private static final String CUT = "cut";

  private static final class OpenRequest {
    private final NodeId node;
    private final Duration deadline;
    private Instant arrival;
    private Instant due;
    private boolean reported;

    private OpenRequest(NodeId node, Duration deadline, Instant arrival) {
      this.node = node;
      this.deadline = deadline;
      arriveAt(arrival);
    }

    private void arriveAt(Instant time) {
      arrival = time;
      due = time.plus(deadline).plus(SLACK);
    }

    private void acceptPause(Instant at, Instant until) {
      if (arrival.isAfter(at)) {
        arriveAt(until);
      } else {
        postponeDueTime(until.plus(SLACK));
      }
    }

    private void postponeDueTime(Instant time) {
      due = due.isAfter(time) ? due : time;
    }
  }

  private final Map<RequestId, OpenRequest> open = new TreeMap<>();
  private final Map<RequestId, String> outcomes = new TreeMap<>();
  private final Map<NodeId, Instant> pausedUntil = new TreeMap<>();

  @Override
  public String name() {
    return "one-ending-in-time";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RequestSent sent -> {
        Instant awake = pausedUntil.getOrDefault(sent.node(), at);
        Instant arrival = awake.isAfter(at) ? awake : at;
        open.put(sent.request(), new OpenRequest(sent.node(), sent.deadline(), arrival));
      }
      case Observation.PieceReceived chunk -> acceptChunk(at, chunk.request(), reporter);
      case Observation.RequestEnded ended -> acceptEnd(ended, reporter);
      case Observation.ConnectionClosed cut -> {
        open.remove(cut.request());
        outcomes.put(cut.request(), CUT);
      }
      case Observation.NodePaused paused -> {
        pausedUntil.put(paused.node(), paused.until());
        open.values().stream()
            .filter(waiting -> waiting.node.equals(paused.node()))
            .forEach(waiting -> waiting.acceptPause(at, paused.until()));
      }
      case Observation.NodeStarted started -> pausedUntil.remove(started.node());
      case Observation.Tick tick -> findOverdue(at, reporter);
      default -> {}
    }
  }

  private void acceptChunk(Instant at, RequestId request, ViolationReporter reporter) {
    OpenRequest waiting = open.get(request);
    if (waiting != null) {
      waiting.due = at.plus(STALL_LIMIT);
    } else if (!CUT.equals(outcomes.get(request))) {
      reporter.report(request + " got a chunk after it ended as " + outcomes.get(request));
    }
  }

  private void acceptEnd(Observation.RequestEnded ended, ViolationReporter reporter) {
    boolean wasOpen = open.remove(ended.request()) != null;
    String before = outcomes.get(ended.request());
    if (!wasOpen && !CUT.equals(before)) {
      reporter.report(
          ended.request() + " ended as " + ended.ending() + " and before that as " + before);
    }
    if (wasOpen) {
      outcomes.put(ended.request(), ended.ending().toString());
    }
  }

  private void findOverdue(Instant at, ViolationReporter reporter) {
    open.forEach(
        (request, waiting) -> {
          if (!waiting.reported && at.isAfter(waiting.due)) {
            waiting.reported = true;
            reporter.report(
                request + " on " + waiting.node + " has no outcome; due at " + waiting.due);
          }
        });
  }
}
