package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.KnownRedCondition;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

/** BUDGET: different requests with one part in common crashed one runner after the other. */
@ExtendWith(KnownRedCondition.class)
class CrashingPartTest {

  private static final AttemptResult CRASH = new AttemptResult.Broken("reset", false, "", true);

  private final CoreHarness node = CoreHarness.ready();

  /** Lets a request with the given parts crash its runner, if it is sent to one. */
  private void crash(String route, String... parts) {
    long exchange = node.arrive(route, List.of(parts));
    List<GatewayEffect.SendAttempt> sends = node.take(GatewayEffect.SendAttempt.class);
    if (!sends.isEmpty()) {
      node.updateAttempt(exchange, sends.getLast().attempt(), CRASH);
    }
    node.pass(Duration.ofSeconds(4));
  }

  @Test
  void requestsWithOnePartThatCrashesRunnersAreRefused() {
    for (int i = 0; i < 5; i++) {
      crash("report", "shared", "deadly", "own-" + i);
    }
    node.take(GatewayEffect.class);
    node.arrive("report", List.of("shared", "deadly", "own-6"));
    List<GatewayEffect> effects = node.take(GatewayEffect.class);
    assertThat(effects.stream().filter(GatewayEffect.SendAttempt.class::isInstance).toList())
        .isEmpty();
    GatewayEffect.Refuse refusal =
        effects.stream()
            .filter(GatewayEffect.Refuse.class::isInstance)
            .map(GatewayEffect.Refuse.class::cast)
            .findFirst()
            .orElseThrow();
    assertThat(refusal.code()).isEqualTo(ResultCode.CRASHING_REQUEST);
    assertThat(refusal.retryAfter()).isPresent();
  }
}
