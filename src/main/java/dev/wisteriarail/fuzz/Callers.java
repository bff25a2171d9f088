package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.fuzz.oracle.Observation;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Simulates callers: they send through the load balancer, time out and retry. */
final class Callers {

  private static final int MAX_SENDS = 4;

  /** Time after the deadline at which a caller gives up a connection without an answer. */
  private static final Duration GIVE_UP_DELAY = Duration.ofSeconds(20);

  private record OpenRequest(NodeId node, Action.Send send, int sendCount) {}

  private final World world;
  private final Fleet fleet;
  private final SeededRandom random;
  private final Map<RequestId, OpenRequest> open = new TreeMap<>();
  private final Map<String, Integer> outcomes = new TreeMap<>();
  private int sequence;

  Callers(World world, Fleet fleet) {
    this.world = world;
    this.fleet = fleet;
    random = world.random("callers");
  }

  // Requests

  /** Sends a request to the node that the load balancer chooses. */
  RequestId send(Action.Send send) {
    return send(send, 1);
  }

  private RequestId send(Action.Send send, int sendCount) {
    sequence++;
    RequestId request = RequestId.of("q" + sequence);
    Optional<SimulatedNode> node = pickNode(send.node() + sendCount - 1);
    if (node.isEmpty()) {
      scheduleRetry(send, sendCount, 1_000);
      return request;
    }
    Content content = new Content(send.tag(), send.pieces(), send.poison());
    KindSpec kind = kind(send);
    NodeId to = node.get().id();
    open.put(request, new OpenRequest(to, send, sendCount));
    world.recordNotable(
        request + " " + send.kind() + " " + send.tag() + " key " + send.key() + " to " + to);
    world.observe(
        new Observation.RequestSent(
            request,
            to,
            send.customer(),
            send.key(),
            kind.repeatable(),
            kind.deadline(),
            content.answer()));
    node.get()
        .submit(
            new Event.RequestArrived(
                new InboundRequest(
                    request,
                    send.customer(),
                    send.kind(),
                    send.target(),
                    send.key(),
                    Optional.empty(),
                    Optional.empty(),
                    content.body())));
    Duration callerTimeout = send.leavesAfter().orElse(kind.deadline().plus(GIVE_UP_DELAY));
    world.after(callerTimeout, () -> disconnect(request));
    return request;
  }

  private void disconnect(RequestId request) {
    OpenRequest waiting = open.remove(request);
    if (waiting != null) {
      world.countFault(FaultKind.CALLER_LEFT);
      world.observe(new Observation.ConnectionClosed(request, true));
      fleet.node(waiting.node()).submit(new Event.CallerLeft(request));
    }
  }

  // Answers

  /** Receives a chunk of an answer. */
  void receiveChunk(NodeId node, Effect.AnswerChunk chunk) {
    world.observe(new Observation.PieceReceived(chunk.request(), chunk.text()));
  }

  /** Receives the outcome of a request. */
  void receiveOutcome(NodeId node, Effect.EndRequest end) {
    String outcome =
        switch (end.ending()) {
          case RequestOutcome.Completed completed -> "completed";
          case RequestOutcome.Refused refused -> refused.refusal().code().name();
        };
    outcomes.merge(outcome, 1, Integer::sum);
    world.recordNotable(end.request() + " ended by " + node + ": " + outcome);
    world.observe(new Observation.RequestEnded(end.request(), end.ending()));
    OpenRequest ended = open.remove(end.request());
    if (ended != null && end.ending() instanceof RequestOutcome.Refused) {
      scheduleRetry(ended.send(), ended.sendCount(), 3_000);
    }
  }

  /** Closes the connections to a node whose process ended. */
  void closeConnections(NodeId node) {
    for (RequestId request : List.copyOf(open.keySet())) {
      OpenRequest waiting = open.get(request);
      if (waiting.node().equals(node)) {
        open.remove(request);
        world.observe(new Observation.ConnectionClosed(request, false));
        scheduleRetry(waiting.send(), waiting.sendCount(), 2_000);
      }
    }
  }

  private void scheduleRetry(Action.Send send, int sendCount, int maxDelayMillis) {
    if (sendCount < MAX_SENDS && world.isFaulty()) {
      world.countFault(FaultKind.CALLER_RETRIED);
      world.after(random.nextDuration(50, maxDelayMillis), () -> send(send, sendCount + 1));
    }
  }

  // Helpers

  private Optional<SimulatedNode> pickNode(int wanted) {
    List<SimulatedNode> alive = fleet.nodes().stream().filter(SimulatedNode::isAlive).toList();
    List<SimulatedNode> ready = alive.stream().filter(node -> node.core().isReady()).toList();
    List<SimulatedNode> choices = ready.isEmpty() || random.nextBoolean(0.05) ? alive : ready;
    return choices.isEmpty() ? Optional.empty() : Optional.of(choices.get(wanted % choices.size()));
  }

  private static KindSpec kind(Action.Send send) {
    return Stream.of(Deployment.URGENT, Deployment.BATCH, Deployment.DISPATCH)
        .filter(kind -> kind.id().equals(send.kind()))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the number of requests by outcome. */
  Map<String, Integer> outcomes() {
    return outcomes;
  }
}
