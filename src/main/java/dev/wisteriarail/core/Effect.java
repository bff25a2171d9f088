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

/** Something that a node's core wants done. */
public sealed interface Effect {

  // Callers

  /**
   * Passes a piece of an answer on to the caller.
   *
   * @param request the request
   * @param position number of pieces before this one
   * @param text the piece
   */
  record AnswerChunk(RequestId request, long position, String text) implements Effect {}

  /**
   * Ends a request; nothing follows for it.
   *
   * @param request the request
   * @param ending how
   */
  record EndRequest(RequestId request, RequestOutcome ending) implements Effect {}

  // Engines and services

  /**
   * Hands a request to a runner. The core is told of each piece and of the end.
   *
   * @param attempt the attempt
   * @param runner the runner
   * @param replica the replica, for a model
   * @param request the request
   * @param resumeFrom pieces that the caller has already; the runner goes on from there
   */
  record Dispatch(
      AttemptId attempt,
      RunnerId runner,
      Optional<ReplicaId> replica,
      InboundRequest request,
      long resumeFrom)
      implements Effect {}

  /**
   * Cancels an attempt and frees its slot on the runner.
   *
   * @param attempt the attempt
   * @param runner the runner
   */
  record CancelAttempt(AttemptId attempt, RunnerId runner) implements Effect {}

  /**
   * Sends an order to an engine. The core is told of the outcome.
   *
   * @param order the order's identifier
   * @param runner the runner
   * @param fence the fencing number of the controller that decided it
   * @param body the order
   */
  record OrderEngine(OrderId order, RunnerId runner, FencingNumber fence, EngineOrder body)
      implements Effect {}

  /**
   * Asks a runner for a report as soon as possible.
   *
   * @param runner the runner
   */
  record RequestReport(RunnerId runner) implements Effect {}

  // Platform and peers

  /**
   * Appends a record to the log. The core is told of the outcome.
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

  /** The drain is complete: nothing is in flight and the process may end. */
  record DrainCompleted() implements Effect {}
}
