package dev.wisteriarail.core;

import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.RequestOutcome;
import java.util.Optional;

/** An action that a node's core requests from its environment. */
public sealed interface Effect {

  // Callers

  /**
   * Forwards a chunk of an answer to the caller.
   *
   * @param request the request
   * @param position number of chunks before this one
   * @param text the chunk
   */
  record AnswerChunk(RequestId request, long position, String text) implements Effect {}

  /**
   * Ends a request; no further effect concerns it.
   *
   * @param request the request
   * @param ending the outcome of the request
   */
  record EndRequest(RequestId request, RequestOutcome ending) implements Effect {}

  // Engines and services

  /**
   * Sends a request to a runner. Each chunk of the answer is reported by {@link
   * Event.AttemptProgressed}, and the end by {@link Event.AttemptEnded}.
   *
   * @param attempt the attempt
   * @param runner the runner
   * @param replica the replica, for a model
   * @param request the request
   * @param resumeFrom number of chunks that the caller already has; the runner continues from there
   */
  record Dispatch(
      AttemptId attempt,
      RunnerId runner,
      Optional<ReplicaId> replica,
      InboundRequest request,
      long resumeFrom)
      implements Effect {}

  /**
   * Cancels an attempt and releases its slot on the runner.
   *
   * @param attempt the attempt
   * @param runner the runner
   */
  record CancelAttempt(AttemptId attempt, RunnerId runner) implements Effect {}

  /**
   * Sends an order to an engine. The outcome is reported by {@link Event.OrderAnswered}.
   *
   * @param order the order's identifier
   * @param runner the runner
   * @param fence the fencing number of the controller that decided the order
   * @param body the order
   */
  record OrderEngine(OrderId order, RunnerId runner, FencingNumber fence, EngineOrder body)
      implements Effect {}

  /**
   * Requests a report from a runner as soon as possible.
   *
   * @param runner the runner
   */
  record RequestReport(RunnerId runner) implements Effect {}

  // Platform and peers

  /**
   * Appends a record to the log. The outcome is reported by {@link Event.AppendAnswered}.
   *
   * @param record the record's identifier
   * @param body its content
   */
  record Append(RecordId record, RecordBody body) implements Effect {}

  /**
   * Sends a message to a peer; it may be lost.
   *
   * @param to the peer
   * @param message the message
   */
  record SendPeer(NodeId to, PeerMessage message) implements Effect {}

  // Node

  /**
   * Writes a numbered event to the log file.
   *
   * @param event the event
   */
  record Emit(NodeEvent event) implements Effect {}

  /** The drain is complete: nothing is in flight and the process may exit. */
  record DrainCompleted() implements Effect {}
}
