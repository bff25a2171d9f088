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

/** Something that a node's core is told. */
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
   * A runner answered a piece of an attempt.
   *
   * @param attempt the attempt
   * @param position number of pieces before this one
   * @param text the piece
   */
  record AttemptProgressed(AttemptId attempt, long position, String text) implements Event {}

  /**
   * An attempt ended.
   *
   * @param attempt the attempt
   * @param outcome how
   */
  record AttemptEnded(AttemptId attempt, AttemptOutcome outcome) implements Event {}

  /**
   * A runner reported its state.
   *
   * @param report the report
   */
  record EngineReported(EngineReport report) implements Event {}

  /**
   * An engine published changes of its prompt cache.
   *
   * @param report the changes
   */
  record CacheReported(CacheReport report) implements Event {}

  /**
   * A runner could not be asked for a report.
   *
   * @param runner the runner
   */
  record EngineUnreachable(RunnerId runner) implements Event {}

  /**
   * The call of an engine order returned.
   *
   * @param order the order
   * @param runner the runner
   * @param outcome what is known
   */
  record OrderAnswered(OrderId order, RunnerId runner, OrderOutcome outcome) implements Event {}

  // Platform

  /**
   * Records were read from the log; the list may be empty.
   *
   * @param records the records in order of their offsets
   * @param nextOffset the offset to read from next
   * @param firstOffset the oldest offset that the log still keeps
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
   * @param reason what went wrong
   */
  record LogReadFailed(String reason) implements Event {}

  /**
   * The call of an append returned.
   *
   * @param record the record
   * @param outcome what is known
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
   * A peer's message came in.
   *
   * @param from the peer
   * @param incarnation the peer's incarnation
   * @param message the message
   */
  record PeerReceived(NodeId from, Incarnation incarnation, PeerMessage message) implements Event {}

  // Node

  /** The time that the core asked to be woken at has come. */
  record TimerFired() implements Event {}

  /** The node is to shut down gracefully. */
  record DrainRequested() implements Event {}

  /** The time of a graceful shutdown is over: what is left has to end now. */
  record DrainExpired() implements Event {}
}
