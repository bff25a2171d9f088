package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LoadSource;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.RetryLimits;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.GatewaySettings;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.fuzz.gateway.GatewayDefect;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Deliberate defects of gateway nodes, each named after its wrong behavior. */
enum GatewayDefects implements GatewayDefect {
  SENDS_TWICE {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return effect instanceof GatewayEffect.SendAttempt
          ? List.of(effect, effect)
          : List.of(effect);
    }
  },
  SAYS_NOT_RUN {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      boolean unknown =
          effect instanceof GatewayEffect.Refuse refuse
              && refuse.code() == ResultCode.OUTCOME_UNKNOWN;
      return List.of(
          unknown
              ? new GatewayEffect.Refuse(
                  ((GatewayEffect.Refuse) effect).exchange(),
                  ResultCode.DEADLINE_UNREACHABLE,
                  Optional.empty())
              : effect);
    }
  },
  DROPS_ENDINGS {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return effect instanceof GatewayEffect.Refuse || effect instanceof GatewayEffect.RelayAnswer
          ? List.of()
          : List.of(effect);
    }
  },
  ENDS_TWICE {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return effect instanceof GatewayEffect.Refuse ? List.of(effect, effect) : List.of(effect);
    }
  },
  ENDS_AT_ONCE {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      boolean stops =
          effect instanceof GatewayEffect.LogEvent emit
              && emit.event().code() == EventCode.NODE_DRAINING;
      return stops ? List.of(effect, new GatewayEffect.DrainCompleted()) : List.of(effect);
    }
  },
  DENIES_ROUTES {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return List.of(
          effect instanceof GatewayEffect.Refuse refuse
              ? new GatewayEffect.Refuse(refuse.exchange(), ResultCode.NOT_FOUND, Optional.empty())
              : effect);
    }
  },
  SHARES_A_FENCE {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return List.of(
          effect instanceof GatewayEffect.SendOrder order
              ? new GatewayEffect.SendOrder(
                  order.runner(),
                  order.order(),
                  order.holder() + order.order().number() % 2,
                  order.fence(),
                  order.timeout())
              : effect);
    }
  },
  IGNORES_ERAS {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      return List.of(
          event instanceof GatewayEvent.LeaseCallCompleted completed
              ? new GatewayEvent.LeaseCallCompleted(withoutEra(completed.answer()))
              : event);
    }

    private static LeaseAnswer withoutEra(LeaseAnswer answer) {
      return switch (answer) {
        case LeaseAnswer.Records records ->
            new LeaseAnswer.Records(
                withoutEra(records.end()), records.first(), records.from(), records.records());
        case LeaseAnswer.Appended appended ->
            new LeaseAnswer.Appended(withoutEra(appended.position()));
        case LeaseAnswer.Conflict conflict -> new LeaseAnswer.Conflict(withoutEra(conflict.end()));
        case LeaseAnswer.Failed failed -> failed;
      };
    }

    private static LogPosition withoutEra(LogPosition position) {
      return LogPosition.of(0, position.offset());
    }
  },
  TELLS_VERSIONS_BACKWARDS {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      if (effect instanceof GatewayEffect.LogEvent emit
          && emit.event().code() == EventCode.CONFIGURATION_APPLIED) {
        long version = Long.parseLong(emit.event().fields().get("version"));
        return List.of(
            new GatewayEffect.LogEvent(
                NodeEvent.of(EventCode.CONFIGURATION_APPLIED, "version", -version)));
      }
      return List.of(effect);
    }
  },
  ORDERS_BEYOND_MEMORY {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      boolean unloads =
          effect instanceof GatewayEffect.SendOrder order
              && order.order().order() instanceof FleetOrder.UnloadModel;
      if (!unloads) {
        return List.of(effect);
      }
      GatewayEffect.SendOrder order = (GatewayEffect.SendOrder) effect;
      NumberedOrder unload = order.order();
      return List.of(
          new GatewayEffect.SendOrder(
              order.runner(),
              new NumberedOrder(
                  unload.number(),
                  unload.runner(),
                  unload.bornMillis(),
                  unload.expectedOrderCount(),
                  new FleetOrder.LoadModel("m6", LoadSource.STORE),
                  unload.reason(),
                  unload.basis()),
              order.holder(),
              order.fence(),
              order.timeout()));
    }
  },
  MISSES_TRANSIT {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      if (!(event instanceof GatewayEvent.ReportReceived read)) {
        return List.of(event);
      }
      RunnerReport report = read.report();
      return List.of(
          new GatewayEvent.ReportReceived(
              new RunnerReport(
                  report.runner(),
                  report.bornMillis(),
                  report.orders(),
                  report.busy(),
                  report.models(),
                  Set.of(),
                  report.inHostMemory(),
                  report.onDisk(),
                  report.waiting(),
                  report.running(),
                  report.tokensUsed()),
              read.requestedAt()));
    }
  },
  SPENDS_ANY_BUDGET {
    @Override
    public GatewaySettings alter(GatewaySettings settings) {
      return new GatewaySettings(
          settings.self(),
          settings.domain(),
          settings.seeds(),
          settings.timings(),
          new RetryLimits(Duration.ofSeconds(10), 100, 10_000),
          settings.allowances(),
          settings.drainGrace());
    }
  },
  MISSES_CHANGES {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      boolean laterDirectory =
          event instanceof GatewayEvent.StoreReadCompleted completed
              && completed.answer() instanceof StoreAnswer.DirectoryRead read
              && read.change().entries().stream().anyMatch(entry -> entry.draining());
      boolean laterConfiguration =
          event instanceof GatewayEvent.StoreReadCompleted completed
              && completed.answer() instanceof StoreAnswer.ConfigurationRead read
              && read.configuration().filter(known -> known.version() > 1).isPresent();
      boolean laterMessage =
          event instanceof GatewayEvent.PeerMessageReceived received
              && (received.message() instanceof FleetMessage.DirectoryTold
                  || received.message() instanceof FleetMessage.ConfigurationTold);
      return laterDirectory || laterConfiguration || laterMessage ? List.of() : List.of(event);
    }
  },
  IGNORES_WORDS {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      return event instanceof GatewayEvent.RunnerNotified ? List.of() : List.of(event);
    }
  },
  FORGETS_CRASHES {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      boolean crash =
          event instanceof GatewayEvent.AttemptUpdated update
              && update.result() instanceof AttemptResult.Broken broken
              && broken.connectionLost();
      if (!crash) {
        return List.of(event);
      }
      GatewayEvent.AttemptUpdated update = (GatewayEvent.AttemptUpdated) event;
      AttemptResult.Broken broken = (AttemptResult.Broken) update.result();
      return List.of(
          new GatewayEvent.AttemptUpdated(
              update.exchange(),
              update.attempt(),
              new AttemptResult.Broken(
                  broken.reason(), broken.started(), broken.lastEvent(), false)));
    }
  },
  ACCUSES_THE_SOUND {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return List.of(
          effect instanceof GatewayEffect.Refuse refuse && refuse.code() == ResultCode.NO_CAPACITY
              ? new GatewayEffect.Refuse(
                  refuse.exchange(), ResultCode.CRASHING_REQUEST, Optional.empty())
              : effect);
    }
  },
  REFUSES_EVERYTHING {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return List.of(
          effect instanceof GatewayEffect.SendAttempt send
              ? new GatewayEffect.Refuse(send.exchange(), ResultCode.NO_CAPACITY, Optional.empty())
              : effect);
    }
  },
  CANCELS_BEFORE_TAKEOVER {
    @Override
    public List<GatewayEffect> alter(GatewayEffect effect) {
      return effect instanceof GatewayEffect.SendAttempt send && send.attempt() > 1
          ? List.of(new GatewayEffect.CancelAttempt(send.exchange(), send.attempt() - 1), send)
          : List.of(effect);
    }
  },
  TAKES_TOO_LATE {
    @Override
    public GatewaySettings alter(GatewaySettings settings) {
      return new GatewaySettings(
          settings.self(),
          settings.domain(),
          settings.seeds(),
          settings.timings(),
          settings.retries(),
          settings.allowances(),
          settings.drainGrace().multipliedBy(4));
    }
  },
  FAILS_INSIDE {
    @Override
    public List<GatewayEvent> alter(GatewayEvent event) {
      if (event instanceof GatewayEvent.CallerDisconnected) {
        throw new IllegalStateException("a deliberate defect");
      }
      return List.of(event);
    }
  }
}
