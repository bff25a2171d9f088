package dev.wisteriarail.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.NumberedOrder;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.CallerIdentity;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.GatewayEvent;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.gateway.FaultRecovery.Action;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what follows an unexpected exception in an effect or in the core. */
class FaultRecoveryTest {

  private static final String FAULT = "a fault";
  private static final long EXCHANGE = 7;
  private static final RunnerEntry RUNNER =
      new RunnerEntry("r", "s", "127.0.0.1", 1, "a", 1, false, 1, 1, List.of(), Set.of(), Set.of());
  private static final AttemptResult RESULT = new AttemptResult.NotSent(FAULT);
  private static final GatewayEffect.SendAttempt SEND =
      new GatewayEffect.SendAttempt(
          EXCHANGE, 2, RUNNER, Duration.ofSeconds(1), 0, false, false, CallerIdentity.UNCHANGED);

  static Stream<Arguments> effects() {
    StoreRead read = new StoreRead.WholeDirectory();
    return Stream.of(
        Arguments.of(
            new GatewayEffect.Refuse(EXCHANGE, ResultCode.DRAINING, Optional.empty()),
            new Action.EndResponse(EXCHANGE)),
        Arguments.of(new GatewayEffect.RelayAnswer(EXCHANGE, 1), new Action.EndResponse(EXCHANGE)),
        Arguments.of(new GatewayEffect.AbortAnswer(EXCHANGE), new Action.EndResponse(EXCHANGE)),
        Arguments.of(SEND, report(new GatewayEvent.AttemptUpdated(EXCHANGE, 2, RESULT))),
        Arguments.of(
            new GatewayEffect.SendOrder(
                RUNNER,
                new NumberedOrder(3, "r", 1, 0, new FleetOrder.UnloadModel("m"), "", null),
                "n",
                1,
                Duration.ofMillis(500)),
            report(new GatewayEvent.OrderCompleted("r", 3, FleetOrderOutcome.UNKNOWN, FAULT))),
        Arguments.of(
            new GatewayEffect.ReadStore(read),
            report(new GatewayEvent.StoreReadCompleted(read, new StoreAnswer.Failed(FAULT)))),
        Arguments.of(
            new GatewayEffect.CallLease(new LeaseCall.Read(0)),
            report(new GatewayEvent.LeaseCallCompleted(new LeaseAnswer.Failed(FAULT)))),
        Arguments.of(
            new GatewayEffect.RegisterNode(NodeAddress.ofSeed("127.0.0.1:1")),
            report(new GatewayEvent.RegistrationCompleted(false))),
        Arguments.of(
            new GatewayEffect.SaveRefusal(new CrashRefusal(Set.of(), 3, 1, 1)),
            report(new GatewayEvent.RefusalSaved(false))),
        Arguments.of(new GatewayEffect.RequestReport(RUNNER), new Action.None()),
        Arguments.of(new GatewayEffect.SetReady(false), new Action.None()));
  }

  private static Action report(GatewayEvent event) {
    return new Action.Report(event);
  }

  @ParameterizedTest
  @MethodSource("effects")
  void coreOrCallerGetsResult(GatewayEffect effect, Action expected) {
    assertThat(FaultRecovery.afterEffect(effect, FAULT, send -> RESULT)).isEqualTo(expected);
  }

  static Stream<Arguments> events() {
    return Stream.of(
        Arguments.of(
            update(new AttemptResult.Broken(FAULT, false, "", false)),
            List.of(),
            new Action.FailRequest(EXCHANGE, ResultCode.OUTCOME_UNKNOWN)),
        Arguments.of(
            update(new AttemptResult.Answered(500, false, true)),
            List.of(new GatewayEffect.AbortAnswer(EXCHANGE + 1)),
            new Action.FailRequest(EXCHANGE, ResultCode.OUTCOME_UNKNOWN)),
        Arguments.of(update(RESULT), List.of(SEND), new Action.None()),
        Arguments.of(
            update(RESULT), List.of(new GatewayEffect.RelayAnswer(EXCHANGE, 1)), new Action.None()),
        Arguments.of(update(new AttemptResult.Progressed()), List.of(), new Action.None()),
        Arguments.of(new GatewayEvent.Tick(false), List.of(), new Action.None()));
  }

  private static GatewayEvent update(AttemptResult result) {
    return new GatewayEvent.AttemptUpdated(EXCHANGE, 1, result);
  }

  /** The caller of a request whose event the core failed to handle does not wait in vain. */
  @ParameterizedTest
  @MethodSource("events")
  void requestEndsUnlessTheCoreDecidedOnIt(
      GatewayEvent event, List<GatewayEffect> effects, Action expected) {
    assertThat(FaultRecovery.afterEvent(event, effects)).isEqualTo(expected);
  }

  @Test
  void onlyTheFirstResultIsPassedOn() {
    List<GatewayEvent> events = new ArrayList<>();
    SingleResult result = SingleResult.to(events::add);
    result.submit(new GatewayEvent.RefusalSaved(true));
    result.submit(new GatewayEvent.RefusalSaved(false));
    assertThat(events).containsExactly(new GatewayEvent.RefusalSaved(true));
  }

  @Test
  void logEventsAwaitNoResult() {
    GatewayEffect log = new GatewayEffect.LogEvent(NodeEvent.of(EventCode.NODE_READY));
    assertThat(FaultRecovery.afterEffect(log, FAULT, send -> RESULT)).isEqualTo(new Action.None());
  }
}
