package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.fleet.RunnerDirectory;
import dev.wisteriarail.core.forward.ForwardRequest;
import dev.wisteriarail.core.forward.RunnerStateTable;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.tenant.Allowance;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import dev.wisteriarail.core.tenant.TenantAllowances;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the refusal of requests beyond an allowance, and the return of costs. */
class AllowanceGateTest {

  private static final Instant NOW = Instant.EPOCH.plusSeconds(1_000);
  private static final TenantSpec TENANT =
      new TenantSpec("t", List.of(), 0, new Allowance(Allowance.Unit.TOKENS, 10, 0, 1));

  private final TenantAllowances allowances =
      TenantAllowances.create(new AllowanceLimits(Duration.ofSeconds(8), 0, 0));
  private final AllowanceGate gate = AllowanceGate.create(allowances);
  private final PendingForwardTable pending =
      PendingForwardTable.create(
          RunnerStateTable.create(RunnerDirectory.create()), DemandCounter.create(), allowances);
  private final GatewayStep step = GatewayStep.at(NOW);

  /** A node of one has a floor of a half: a refill of 4 per second and a debt of 8. */
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
    assertThat(gate.tryAdmit(request(7), step)).isTrue();
    assertThat(gate.tryAdmit(request(4), step)).isFalse();
    GatewayEffect.Refuse refuse =
        step.effects().stream()
            .filter(GatewayEffect.Refuse.class::isInstance)
            .map(GatewayEffect.Refuse.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(refuse.code()).isEqualTo(ResultCode.ALLOWANCE_USED);
    assertThat(refuse.retryAfter().orElseThrow()).isAtLeast(Duration.ofMillis(930));
    assertThat(refuse.retryAfter().orElseThrow()).isAtMost(Duration.ofMillis(940));
    assertThat(gate.tryAdmit(request(4), GatewayStep.at(NOW.plusSeconds(1)))).isTrue();
  }

  /** Guards against costs of requests that never ran, and against the return of others. */
  @Test
  void onlyCostOfUnexecutedRequestIsReturned() {
    PendingForward executed = request(7);
    assertThat(gate.tryAdmit(executed, step)).isTrue();
    executed.markMayHaveRun(CoreHarness.runner("p1", CoreHarness.PLAIN, false));
    pending.giveUp(executed, "test", step);
    assertThat(gate.tryAdmit(request(7), step)).isFalse();
    Instant later = NOW.plusSeconds(2);
    PendingForward unexecuted = request(7);
    assertThat(gate.tryAdmit(unexecuted, GatewayStep.at(later))).isTrue();
    pending.giveUp(unexecuted, "test", GatewayStep.at(later));
    assertThat(gate.tryAdmit(request(7), GatewayStep.at(later))).isTrue();
    PendingForward atRunner = request(7);
    atRunner.send(CoreHarness.runner("p1", CoreHarness.PLAIN, false), later);
    pending.giveBackCost(atRunner, GatewayStep.at(later));
    assertThat(gate.tryAdmit(request(7), GatewayStep.at(later))).isFalse();
  }
}
