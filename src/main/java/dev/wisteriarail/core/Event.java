package dev.wisteriarail.core;

import dev.wisteriarail.core.engine.CacheReport;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import java.util.List;

/** An input of a node's core. */
public sealed interface Event {

  // Callers

  /**
   * A caller sent a request.
   *
   * @param request the request
   */
  record RequestArrived(InboundRequest request) implements Event {}

  /**
   * A caller closed its connection before the request ended.
   *
   * @param request the request
   */
  record CallerLeft(RequestId request) implements Event {}

  // Engines and services

  /**
   * A runner sent a chunk of the answer to an attempt.
   *
   * @param attempt the attempt
   * @param position number of chunks before this one
   * @param text the chunk
   */
  record AttemptProgressed(AttemptId attempt, long position, String text) implements Event {}

  /**
   * An attempt ended.
   *
   * @param attempt the attempt
   * @param outcome its outcome
   */
  record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements Event {}

  /**
   * A runner reported its state.
   *
   * @param report the report
   */
  record EngineReported(EngineReport report) implements Event {}

  /**
   * An engine published a report of its prompt cache.
   *
   * @param report the report
   */
  record CacheReported(CacheReport report) implements Event {}

  /**
   * A report could not be requested from a runner.
   *
   * @param runner the runner
   */
  record EngineUnreachable(RunnerId runner) implements Event {}

  /**
   * The call of an engine order returned.
   *
   * @param order the order
   * @param runner the runner
   * @param outcome the outcome
   */
  record OrderAnswered(OrderId order, RunnerId runner, OrderOutcome outcome) implements Event {}

  // Platform

  /**
   * Records were read from the log; the list may be empty.
   *
   * @param records the records in order of their offsets
   * @param nextOffset the offset to read from next
   * @param firstOffset the oldest offset that the log still retains
   */
  record LogRead(List<LogRecord> records, long nextOffset, long firstOffset) implements Event {

    /** Copies the list. */
    public LogRead {
      records = List.copyOf(records);
    }
  }

  /**
   * The log could not be read.
   *
   * @param reason description of the failure
   */
  record LogReadFailed(String reason) implements Event {}

  /**
   * The call of an append returned.
   *
   * @param record the record
   * @param outcome the outcome
   */
  record AppendAnswered(RecordId record, AppendOutcome outcome) implements Event {}

  /**
   * The platform's VM list was read.
   *
   * @param nodes its nodes
   */
  record VmListRead(List<VmEntry> nodes) implements Event {

    /** Copies the list. */
    public VmListRead {
      nodes = List.copyOf(nodes);
    }
  }

  // Peers

  /**
   * A message from a peer was received.
   *
   * @param from the peer
   * @param incarnation the peer's incarnation
   * @param message the message
   */
  record PeerReceived(NodeId from, Incarnation incarnation, PeerMessage message) implements Event {}

  // Node

  /** The wake-up time of the core, {@link NodeCore#nextWakeUp}, was reached. */
  record TimerFired() implements Event {}

  /** A graceful shutdown of the node was requested. */
  record DrainRequested() implements Event {}

  /** The time limit of the graceful shutdown expired: all remaining requests have to end now. */
  record DrainExpired() implements Event {}
}
