package dev.wisteriarail.capacity;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.peer.PeerMessage;

/** The activity that processing time of a node is attributed to, by the event that it handles. */
public enum Role {
  /** Requests and their attempts. */
  ROUTER,
  /** Reports from runners. */
  RUNNER_REPORTS,
  /** Records read from the log, and outcomes of appends. */
  LOG_READER,
  /** Heartbeats and other messages from peers, and the VM list. */
  MEMBERSHIP,
  /** Demand reports of other nodes, order outcomes, timers and drains: controller decisions. */
  CONTROLLER;

  /** Returns the role to which the handling of an event is attributed. */
  static Role of(Event event) {
    return switch (event) {
      case Event.RequestArrived e -> ROUTER;
      case Event.CallerLeft e -> ROUTER;
      case Event.AttemptProgressed e -> ROUTER;
      case Event.AttemptEnded e -> ROUTER;
      case Event.EngineReported e -> RUNNER_REPORTS;
      case Event.CacheReported e -> RUNNER_REPORTS;
      case Event.EngineUnreachable e -> RUNNER_REPORTS;
      case Event.LogRead e -> LOG_READER;
      case Event.LogReadFailed e -> LOG_READER;
      case Event.AppendAnswered e -> LOG_READER;
      case Event.VmListRead e -> MEMBERSHIP;
      case Event.PeerReceived received ->
          received.message() instanceof PeerMessage.DemandReported ? CONTROLLER : MEMBERSHIP;
      case Event.OrderAnswered e -> CONTROLLER;
      case Event.TimerFired e -> CONTROLLER;
      case Event.DrainRequested e -> CONTROLLER;
      case Event.DrainExpired e -> CONTROLLER;
    };
  }
}
