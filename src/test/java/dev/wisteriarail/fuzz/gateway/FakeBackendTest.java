package dev.wisteriarail.fuzz.gateway;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.forward.AttemptResult;
import org.junit.jupiter.api.Test;

/** Tests what nodes get of a runner in the fuzz. */
class FakeBackendTest {

  private static final AttemptResult ANSWER = new AttemptResult.Answered(503, true, true);

  private final FakeBackend backend =
      new FakeBackend("e0", GatewayFuzzDeployment.ENGINE_SERVICE, true, 100);

  /** An answer after the crash would refute it, and nodes would drop true evidence. */
  @Test
  void crashedRunSendsNothingThatItHeldBackWhileSilent() {
    long run = backend.bornMillis();
    assertThat(backend.resultOf(run, ANSWER)).isEqualTo(ANSWER);
    backend.crash();
    assertThat(backend.resultOf(run, ANSWER)).isInstanceOf(AttemptResult.Broken.class);
    backend.restart();
    assertThat(backend.resultOf(run, ANSWER)).isInstanceOf(AttemptResult.Broken.class);
    assertThat(backend.resultOf(backend.bornMillis(), ANSWER)).isEqualTo(ANSWER);
  }
}
