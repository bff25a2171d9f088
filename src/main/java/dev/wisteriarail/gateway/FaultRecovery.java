package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.result.ResultCode;
import java.util.List;
import java.util.function.Function;

/**
 * Determines what follows an unexpected exception, so that neither the core nor a caller waits for
 * a result that will not come. Stateless.
 */
final class FaultRecovery {

  private FaultRecovery() {}

  /** What follows an exception. */
  sealed interface Action {

    /** The core receives an event. */
    record Report(GatewayEvent event) implements Action {}

    /** The caller's response is ended, even if it was marked as ended before. */
    record EndResponse(long exchange) implements Action {}

    /** The caller gets a failure, or its begun response is aborted, and the core drops the rest. */
    record FailRequest(long exchange, ResultCode code) implements Action {}

    /** Nothing waits for a result. */
    record None() implements Action {}
  }

  /**
   * Returns what follows an exception in an effect.
   *
   * @param effect the effect
   * @param fault description of the exception
   * @param attemptResult ends an attempt whose sending failed and returns its result
   */
  static Action afterEffect(
      GatewayEffect effect,
      String fault,
      Function<GatewayEffect.SendAttempt, AttemptResult> attemptResult) {
    return switch (effect) {
      case GatewayEffect.Refuse refuse -> new Action.EndResponse(refuse.exchange());
      case GatewayEffect.RelayAnswer relay -> new Action.EndResponse(relay.exchange());
      case GatewayEffect.AbortAnswer abort -> new Action.EndResponse(abort.exchange());
      case GatewayEffect.SendAttempt send ->
          new Action.Report(
              new GatewayEvent.AttemptUpdated(
                  send.exchange(), send.attempt(), attemptResult.apply(send)));
      case GatewayEffect.SendOrder order ->
          new Action.Report(
              new GatewayEvent.OrderCompleted(
                  order.runner().id(), order.order().number(), FleetOrderOutcome.UNKNOWN, fault));
      case GatewayEffect.ReadStore read ->
          new Action.Report(
              new GatewayEvent.StoreReadCompleted(read.call(), new StoreAnswer.Failed(fault)));
      case GatewayEffect.CallLease lease ->
          new Action.Report(new GatewayEvent.LeaseCallCompleted(new LeaseAnswer.Failed(fault)));
      case GatewayEffect.RegisterNode register ->
          new Action.Report(new GatewayEvent.RegistrationCompleted(false));
      case GatewayEffect.SaveRefusal save ->
          new Action.Report(new GatewayEvent.RefusalSaved(false));
      case GatewayEffect.RequestReport request -> new Action.None();
      case GatewayEffect.CancelAttempt cancel -> new Action.None();
      case GatewayEffect.SendPeer send -> new Action.None();
      case GatewayEffect.QueueMeasured measured -> new Action.None();
      case GatewayEffect.WarmUpCodec warmUp -> new Action.None();
      case GatewayEffect.LogEvent logEvent -> new Action.None();
      case GatewayEffect.SetReady ready -> new Action.None();
      case GatewayEffect.ApplyBounds apply -> new Action.None();
      case GatewayEffect.CloseIdleCallers close -> new Action.None();
      case GatewayEffect.DrainCompleted completed -> new Action.None();
    };
  }

  /**
   * Returns what follows an exception in the core. A request whose event was being handled ends,
   * unless the effects show that the core had decided on it before the exception.
   *
   * @param event the event that was being handled
   * @param effects the effects of the event up to the exception
   */
  static Action afterEvent(GatewayEvent event, List<GatewayEffect> effects) {
    return switch (event) {
      case GatewayEvent.RequestArrived arrived ->
          failUnlessDecided(arrived.request().exchange(), ResultCode.INTERNAL, effects);
      case GatewayEvent.AttemptUpdated update when endsAttempt(update.result()) ->
          failUnlessDecided(update.exchange(), ResultCode.OUTCOME_UNKNOWN, effects);
      case GatewayEvent.AttemptUpdated update -> new Action.None();
      case GatewayEvent.CallerDisconnected disconnected -> new Action.None();
      case GatewayEvent.RunnerNotified notified -> new Action.None();
      case GatewayEvent.StoreReadCompleted completed -> new Action.None();
      case GatewayEvent.LeaseCallCompleted completed -> new Action.None();
      case GatewayEvent.RegistrationCompleted completed -> new Action.None();
      case GatewayEvent.RefusalSaved saved -> new Action.None();
      case GatewayEvent.OrderCompleted completed -> new Action.None();
      case GatewayEvent.ReportReceived received -> new Action.None();
      case GatewayEvent.PeerMessageReceived received -> new Action.None();
      case GatewayEvent.Tick tick -> new Action.None();
      case GatewayEvent.DrainRequested requested -> new Action.None();
      case GatewayEvent.SettingsReloaded reloaded -> new Action.None();
    };
  }

  private static Action failUnlessDecided(
      long exchange, ResultCode code, List<GatewayEffect> effects) {
    return effects.stream().anyMatch(effect -> decides(effect, exchange))
        ? new Action.None()
        : new Action.FailRequest(exchange, code);
  }

  private static boolean decides(GatewayEffect effect, long exchange) {
    return switch (effect) {
      case GatewayEffect.SendAttempt send -> send.exchange() == exchange;
      case GatewayEffect.Refuse refuse -> refuse.exchange() == exchange;
      case GatewayEffect.RelayAnswer relay -> relay.exchange() == exchange;
      case GatewayEffect.AbortAnswer abort -> abort.exchange() == exchange;
      default -> false;
    };
  }

  private static boolean endsAttempt(AttemptResult result) {
    return switch (result) {
      case AttemptResult.Started started -> false;
      case AttemptResult.Progressed progressed -> false;
      case AttemptResult.Prevailed prevailed -> false;
      case AttemptResult.Paused paused -> false;
      case AttemptResult.Resumed resumed -> false;
      case AttemptResult.Finished finished -> true;
      case AttemptResult.Answered answered -> true;
      case AttemptResult.NotSent notSent -> true;
      case AttemptResult.LocalFault fault -> true;
      case AttemptResult.Broken broken -> true;
    };
  }
}
