package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Checks that a drain cuts no request in flight and completes in time. */
final class DrainCheck implements Check {

  /** Time within which a drain completes, if the node is neither paused nor killed. */
  private static final Duration LIMIT = Duration.ofSeconds(60);

  private static final class Drain {
    private final Instant since;
    private final Set<RequestId> openRequests;
    private boolean reported;

    private Drain(Instant since, Set<RequestId> openRequests) {
      this.since = since;
      this.openRequests = openRequests;
    }
  }

  private final Map<RequestId, NodeId> open = new TreeMap<>();
  private final Set<RequestId> started = new TreeSet<>();
  private final Map<NodeId, Drain> drains = new TreeMap<>();

  @Override
  public String name() {
    return "drain";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RequestSent sent -> open.put(sent.request(), sent.node());
      case Observation.RunStarted run -> started.add(run.request());
      case Observation.RequestEnded ended -> acceptEnd(ended, reporter);
      case Observation.ConnectionClosed cut -> close(cut.request());
      case Observation.DrainAsked asked ->
          drains.putIfAbsent(asked.node(), new Drain(at, openOn(asked.node())));
      case Observation.DrainDone done -> acceptDone(done.node(), reporter);
      case Observation.NodeStopped stopped -> drains.remove(stopped.node());
      case Observation.NodePaused paused -> drains.remove(paused.node());
      case Observation.Tick tick -> findOverdue(at, reporter);
      default -> {}
    }
  }

  private void acceptEnd(Observation.RequestEnded ended, ViolationReporter reporter) {
    NodeId node = open.get(ended.request());
    Drain drain = node == null ? null : drains.get(node);
    boolean forDrain =
        ended.ending() instanceof RequestOutcome.Refused refused
            && refused.refusal().code() == ResultCode.DRAINING;
    if (forDrain && drain != null && isInFlight(drain, ended.request())) {
      reporter.report(ended.request() + " was running when " + node + " refused it to drain");
    }
    close(ended.request());
  }

  private boolean isInFlight(Drain drain, RequestId request) {
    return drain.openRequests.contains(request) && started.contains(request);
  }

  private void acceptDone(NodeId node, ViolationReporter reporter) {
    Drain drain = drains.remove(node);
    if (drain != null && !drain.openRequests.isEmpty()) {
      reporter.report(node + " ended its drain with open requests " + drain.openRequests);
    }
  }

  private void findOverdue(Instant at, ViolationReporter reporter) {
    drains.forEach(
        (node, drain) -> {
          if (!drain.reported && at.isAfter(drain.since.plus(LIMIT))) {
            drain.reported = true;
            reporter.report(node + " drains since " + drain.since + ", open " + drain.openRequests);
          }
        });
  }

  private void close(RequestId request) {
    open.remove(request);
    drains.values().forEach(drain -> drain.openRequests.remove(request));
  }

  private Set<RequestId> openOn(NodeId node) {
    List<RequestId> found = new ArrayList<>();
    open.forEach(
        (request, at) -> {
          if (at.equals(node)) {
            found.add(request);
          }
        });
    return new TreeSet<>(found);
  }
}
