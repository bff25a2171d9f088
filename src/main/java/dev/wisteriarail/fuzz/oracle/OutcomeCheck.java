package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/**
 * A waiting request is served or refused in time, never dropped, and ends once.
 *
 * <p>While a node is paused it owes nothing; it then has the slack again from when it goes on. A
 * request that reaches a paused node arrives when the node goes on.
 */
final class OutcomeCheck implements Check {

  /** Time after its deadline by which a request has to have a first piece or its ending. */
  private static final Duration SLACK = Duration.ofSeconds(2);

  /** Time after its last piece by which a request has to have another or its ending. */
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
  public void observe(Instant at, Observation observation, ViolationReporter complaints) {
    switch (observation) {
      case Observation.RequestSent sent -> {
        Instant awake = pausedUntil.getOrDefault(sent.node(), at);
        Instant arrival = awake.isAfter(at) ? awake : at;
        open.put(sent.request(), new OpenRequest(sent.node(), sent.deadline(), arrival));
      }
      case Observation.PieceReceived piece -> acceptPiece(at, piece.request(), complaints);
      case Observation.RequestEnded ended -> acceptEnd(ended, complaints);
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
      case Observation.Tick tick -> findOverdue(at, complaints);
      default -> {}
    }
  }

  private void acceptPiece(Instant at, RequestId request, ViolationReporter complaints) {
    OpenRequest waiting = open.get(request);
    if (waiting != null) {
      waiting.due = at.plus(STALL_LIMIT);
    } else if (!CUT.equals(outcomes.get(request))) {
      complaints.report(request + " got a piece after it ended as " + outcomes.get(request));
    }
  }

  private void acceptEnd(Observation.RequestEnded ended, ViolationReporter complaints) {
    boolean wasOpen = open.remove(ended.request()) != null;
    String before = outcomes.get(ended.request());
    if (!wasOpen && !CUT.equals(before)) {
      complaints.report(
          ended.request() + " ended as " + ended.ending() + " and before as " + before);
    }
    if (wasOpen) {
      outcomes.put(ended.request(), ended.ending().toString());
    }
  }

  private void findOverdue(Instant at, ViolationReporter complaints) {
    open.forEach(
        (request, waiting) -> {
          if (!waiting.reported && at.isAfter(waiting.due)) {
            waiting.reported = true;
            complaints.report(
                request + " on " + waiting.node + " has no ending; due at " + waiting.due);
          }
        });
  }
}
