package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.OrderId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.request.Refusal;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.ResultCode;
import java.util.List;
import java.util.Optional;

/** Deliberate defects of nodes, each named after its wrong behavior. */
enum Defects implements Defect {
  ORDERS_A_SECOND_REPLICA {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.OrderEngine order
              && order.body() instanceof EngineOrder.LoadReplica load
          ? List.of(effect, secondOrder(order, load))
          : List.of(effect);
    }
  },
  ORDERS_BEYOND_MEMORY {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.OrderEngine order
              && order.body() instanceof EngineOrder.LoadReplica load
          ? List.of(
              effect,
              secondOrder(
                  order,
                  new EngineOrder.LoadReplica(
                      load.replica(), load.model(), load.version(), 5 * load.bytes())))
          : List.of(effect);
    }
  },
  HOLDS_UNDECIDED_REPLICAS {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      boolean unloads =
          effect instanceof Effect.OrderEngine order
              && order.body() instanceof EngineOrder.UnloadReplica;
      return unloads ? List.of() : ORDERS_A_SECOND_REPLICA.alter(node, effect);
    }
  },
  DROPS_ENDINGS {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.EndRequest ? List.of() : List.of(effect);
    }
  },
  ENDS_TWICE {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.EndRequest ? List.of(effect, effect) : List.of(effect);
    }
  },
  LOSES_A_PIECE {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.AnswerChunk chunk && chunk.position() == 1
          ? List.of()
          : List.of(effect);
    }
  },
  REPEATS_A_PIECE {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.AnswerChunk chunk && chunk.position() == 1
          ? List.of(effect, effect)
          : List.of(effect);
    }
  },
  SAYS_NOT_RUN_AFTER_DISPATCH {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.Dispatch dispatch
          ? List.of(effect, refuse(dispatch))
          : List.of(effect);
    }
  },
  DISPATCHES_TWICE {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.Dispatch dispatch
          ? List.of(effect, again(dispatch))
          : List.of(effect);
    }
  },
  IGNORES_LEAVING {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.Dispatch dispatch
              && dispatch.request().target() instanceof Target.ServiceTarget
          ? List.of(to(RunnerId.of("app1"), dispatch))
          : List.of(effect);
    }
  },
  DRAINS_AT_ONCE {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.Emit emit && emit.event().code() == EventCode.NODE_DRAINING
          ? List.of(effect, new Effect.DrainCompleted())
          : List.of(effect);
    }
  },
  NEVER_DRAINS {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.DrainCompleted ? List.of() : List.of(effect);
    }
  },
  MISSES_CHANGES {
    @Override
    public Event alter(NodeId node, Event event) {
      if (!node.equals(NodeId.of("n1"))) {
        return event;
      }
      return switch (event) {
        case Event.LogRead read ->
            new Event.LogRead(
                read.records().stream().filter(logged -> !isLaterChange(logged)).toList(),
                read.nextOffset(),
                read.firstOffset());
        case Event.PeerReceived received
            when received.message() instanceof PeerMessage.StateOffered ->
            new Event.TimerFired();
        default -> event;
      };
    }

    private static boolean isLaterChange(LogRecord logged) {
      return logged.body() instanceof RecordBody.ConfigurationChanged change
          && change.basedOn().value() != 0;
    }
  },
  REFUSES_EVERYTHING {
    @Override
    public List<Effect> alter(NodeId node, Effect effect) {
      return effect instanceof Effect.Dispatch dispatch
          ? List.of(refuse(dispatch))
          : List.of(effect);
    }
  },
  TAKES_NOTHING_FOR_AN_EVENT {
    @Override
    public Event alter(NodeId node, Event event) {
      return event instanceof Event.VmListRead ? null : event;
    }
  };

  // Helpers

  private static Effect secondOrder(Effect.OrderEngine order, EngineOrder.LoadReplica load) {
    return new Effect.OrderEngine(
        OrderId.of(order.order() + "-second"),
        order.runner(),
        order.fence(),
        new EngineOrder.LoadReplica(
            ReplicaId.of(load.replica() + "-second"), load.model(), load.version(), load.bytes()));
  }

  private static Effect refuse(Effect.Dispatch dispatch) {
    return new Effect.EndRequest(
        dispatch.request().id(),
        new RequestOutcome.Refused(Refusal.notRun(ResultCode.NO_CAPACITY, "a defect")));
  }

  private static Effect again(Effect.Dispatch dispatch) {
    return new Effect.Dispatch(
        AttemptId.of(dispatch.attempt() + "-again"),
        dispatch.runner(),
        dispatch.replica(),
        dispatch.request(),
        dispatch.resumeFrom());
  }

  private static Effect to(RunnerId runner, Effect.Dispatch dispatch) {
    return new Effect.Dispatch(
        dispatch.attempt(), runner, Optional.empty(), dispatch.request(), dispatch.resumeFrom());
  }
}
