package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.peer.FleetMessage;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.tenant.Allowance;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import dev.wisteriarail.core.tenant.AllowanceReserve;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the refusal of requests beyond an allowance, and the return of costs. */
class AllowanceGateTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(1_000);
  private static final TenantSpec TENANT =
      new TenantSpec("t", List.of(), 0, new Allowance(Allowance.Unit.TOKENS, 100.0 / 3, 0, 1));

  private final TenantAllowances allowances =
      TenantAllowances.create(new AllowanceLimits(Duration.ofSeconds(8), 0, 0));
  private final AllowanceGate gate = AllowanceGate.create(allowances, new Reserve());
  private final PendingForwardTable pending =
      PendingForwardTable.create(
          RunnerStateTable.create(RunnerDirectory.create()), DemandCounter.create(), allowances);
  private final List<FleetMessage.AllowanceAsked> asked = new ArrayList<>();
  private boolean known;
  private final GatewayStep step = GatewayStep.at(NOW);

  /** A node of one has a floor of 0.15: a refill of 4 per second and a debt of 8. */
  @BeforeEach
  void configure() {
    allowances.setNodes(1, NOW);
    allowances.configure(List.of(TENANT), NOW);
  }

  private static PendingForward request(int tokens) {
    ForwardRequest request =
        new ForwardRequest(
            1,
            "r",
            "host",
            "/chat/",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            true,
            tokens,
            0,
            List.of(),
            999,
            0,
            Optional.empty());
    return PendingForward.of(
        request,
        CoreHarness.configuration(1).routes().getFirst(),
        CoreHarness.ENGINES,
        Optional.of(TENANT),
        NOW);
  }

  /** Guards against an early return, and a return of all callers at once. */
  @Test
  void refusalTellsWhenTheBucketHoldsTheCost() {
    assertThat(gate.admit(request(7), step)).isEqualTo(AllowanceGate.Outcome.ADMITTED);
    assertThat(gate.admit(request(4), step)).isEqualTo(AllowanceGate.Outcome.REFUSED);
    GatewayEffect.Refuse refuse =
        step.effects().stream()
            .filter(GatewayEffect.Refuse.class::isInstance)
            .map(GatewayEffect.Refuse.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(refuse.code()).isEqualTo(ResultCode.ALLOWANCE_USED);
    assertThat(refuse.retryAfter().orElseThrow()).isAtLeast(Duration.ofMillis(930));
    assertThat(refuse.retryAfter().orElseThrow()).isAtMost(Duration.ofMillis(940));
    assertThat(gate.admit(request(4), GatewayStep.at(NOW.plusSeconds(1))))
        .isEqualTo(AllowanceGate.Outcome.ADMITTED);
  }

  /** Guards against costs of requests that never ran, and against the return of others. */
  @Test
  void onlyCostOfUnexecutedRequestIsReturned() {
    PendingForward executed = request(7);
    assertThat(gate.admit(executed, step)).isEqualTo(AllowanceGate.Outcome.ADMITTED);
    executed.markMayHaveRun(CoreHarness.runner("p1", CoreHarness.PLAIN, false));
    pending.giveUp(executed, "test", step);
    assertThat(gate.admit(request(7), step)).isEqualTo(AllowanceGate.Outcome.REFUSED);
    Instant later = NOW.plusSeconds(2);
    PendingForward unexecuted = request(7);
    assertThat(gate.admit(unexecuted, GatewayStep.at(later)))
        .isEqualTo(AllowanceGate.Outcome.ADMITTED);
    pending.giveUp(unexecuted, "test", GatewayStep.at(later));
    assertThat(gate.admit(request(7), GatewayStep.at(later)))
        .isEqualTo(AllowanceGate.Outcome.ADMITTED);
    PendingForward atRunner = request(7);
    atRunner.markCostTaken();
    atRunner.send(CoreHarness.runner("p1", CoreHarness.PLAIN, false), later);
    pending.giveBackCost(atRunner, GatewayStep.at(later));
    assertThat(gate.admit(request(7), GatewayStep.at(later)))
        .isEqualTo(AllowanceGate.Outcome.REFUSED);
  }

  /**
   * Guards against a request that is refused here though the reserve of all nodes holds its cost.
   */
  @Test
  void requestBeyondTheShareIsAskedForAndAdmittedByTheAnswer() {
    known = true;
    PendingForward large = request(9);
    assertThat(gate.admit(large, step)).isEqualTo(AllowanceGate.Outcome.ASKED);
    assertThat(asked).containsExactly(new FleetMessage.AllowanceAsked(1, "t", 9));
    assertThat(gate.accept(large, new AllowanceReserve.Decision(true, Duration.ZERO), step))
        .isEqualTo(AllowanceGate.Outcome.ADMITTED);
    assertThat(gate.timedOut(large, GatewayStep.at(NOW.plusSeconds(9)))).isFalse();
  }

  /** Guards against questions for each request of a tenant that is far above its limit. */
  @Test
  void refusalByTheCoordinatorDecidesAboutTheNextRequestsOfThatCost() {
    known = true;
    PendingForward large = request(9);
    assertThat(gate.admit(large, step)).isEqualTo(AllowanceGate.Outcome.ASKED);
    Duration later = Duration.ofSeconds(2);
    assertThat(gate.accept(large, new AllowanceReserve.Decision(false, later), step))
        .isEqualTo(AllowanceGate.Outcome.REFUSED);
    assertThat(gate.admit(request(9), step)).isEqualTo(AllowanceGate.Outcome.REFUSED);
    assertThat(
            step.effects().stream()
                .filter(GatewayEffect.Refuse.class::isInstance)
                .map(effect -> ((GatewayEffect.Refuse) effect).retryAfter().orElseThrow()))
        .containsExactly(later, later);
    assertThat(asked).hasSize(1);
    assertThat(gate.admit(request(9), GatewayStep.at(NOW.plusMillis(100))))
        .isEqualTo(AllowanceGate.Outcome.ASKED);
  }

  /** Guards against a request that waits for a coordinator that does not answer. */
  @Test
  void silentCoordinatorIsNotAskedAgainForOneSecond() {
    known = true;
    PendingForward large = request(9);
    assertThat(gate.admit(large, step)).isEqualTo(AllowanceGate.Outcome.ASKED);
    assertThat(gate.timedOut(large, GatewayStep.at(NOW.plusMillis(399)))).isFalse();
    GatewayStep due = GatewayStep.at(NOW.plusMillis(400));
    assertThat(gate.timedOut(large, due)).isTrue();
    assertThat(gate.admit(request(9), due)).isEqualTo(AllowanceGate.Outcome.REFUSED);
    assertThat(gate.admit(request(9), GatewayStep.at(NOW.plusMillis(1_400))))
        .isEqualTo(AllowanceGate.Outcome.ASKED);
  }

  /** A coordinator that is another node, if it is known. */
  private final class Reserve implements AllowanceGate.Coordinator {

    @Override
    public Optional<AllowanceReserve.Decision> take(
        FleetMessage.AllowanceAsked question, Instant now) {
      return Optional.empty();
    }

    @Override
    public boolean ask(FleetMessage.AllowanceAsked question, GatewayStep ignored) {
      if (known) {
        asked.add(question);
      }
      return known;
    }
  }
}
