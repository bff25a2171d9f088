package dev.wisteriarail.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.placement.FixedTimeoutPlanner;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StatusPageTest {

  private static final String TOKEN = "operators";

  private final NodeCore core =
      NodeCore.create(
          new NodeSettings(
              NodeId.of("n1"),
              Incarnation.of(7),
              FailureDomain.of("fd1"),
              CellId.of("main"),
              1,
              Timings.DEFAULT),
          FixedTimeoutPlanner.withTimeout(Duration.ofMinutes(1)));
  private final StatusPage page =
      StatusPage.create(
          Optional.of(Authenticator.hash(TOKEN)), () -> Optional.of(core.status(Instant.EPOCH)));

  @Test
  void operatorSeesTheNode() throws Exception {
    JsonNode status = Codecs.json().readTree(page.render("Bearer " + TOKEN));
    assertThat(status.path("node").asText()).isEqualTo("n1");
    assertThat(status.path("incarnation").asLong()).isEqualTo(7);
    assertThat(status.path("ready").asBoolean()).isFalse();
    assertThat(status.path("nextOffset").asLong()).isEqualTo(0);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "operators", "Bearer customer"})
  void othersAreRefused(String header) {
    RefusedException refused = assertThrows(RefusedException.class, () -> page.render(header));
    assertThat(refused.refusal().code()).isEqualTo(ResultCode.UNAUTHENTICATED);
  }

  @Test
  void pageWithoutTokenIsOff() {
    RefusedException refused =
        assertThrows(RefusedException.class, () -> StatusPage.OFF.render("Bearer " + TOKEN));
    assertThat(refused.refusal().code()).isEqualTo(ResultCode.NOT_FOUND);
  }
}
