package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.core.forward.AttemptResult;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests what a further attempt costs that was overtaken by the silent one. */
class OvertakenAttemptTest {

  private static final Duration SILENCE = Duration.ofMillis(900);

  private final CoreHarness node = CoreHarness.ready();

  private void addEngines() {
    node.directory(
        6,
        CoreHarness.runner("e1", CoreHarness.ENGINES, false),
        CoreHarness.runner("e2", CoreHarness.ENGINES, false),
        CoreHarness.runner("e3", CoreHarness.ENGINES, false),
        CoreHarness.runner("e4", CoreHarness.ENGINES, false));
  }

  /** The route allows two runners; an overtaken runner may have begun to work on the request. */
  @Test
  void overtakenAttemptsCountForTheMaximumOfRunners() {
    node.configure(Duration.ofSeconds(60));
    addEngines();
    long exchange = node.arrive("chat", Duration.ofSeconds(60));
    node.updateAttempt(exchange, 1, new AttemptResult.Started());
    List<String> runners = new ArrayList<>();
    runners.add(
        node.take(GatewayEffect.SendAttempt.class).stream()
            .filter(sent -> sent.exchange() == exchange)
            .findFirst()
            .orElseThrow()
            .runner()
            .id());
    Map<Long, String> others = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      // Other requests come and go, so another runner has most room each time.
      for (int other = 0; other < 12; other++) {
        node.arrive("report", Duration.ofSeconds(60));
      }
      node.take(GatewayEffect.SendAttempt.class)
          .forEach(sent -> others.put(sent.exchange(), sent.runner().id()));
      String last = runners.getLast();
      others.forEach(
          (other, runner) -> {
            if (!runner.equals(last)) {
              node.updateAttempt(other, 1, new AttemptResult.Finished(200));
            }
          });
      others.values().removeIf(runner -> !runner.equals(last));
      node.pass(SILENCE);
      for (GatewayEffect.SendAttempt sent : node.take(GatewayEffect.SendAttempt.class)) {
        assertThat(sent.exchange()).isEqualTo(exchange);
        runners.add(sent.runner().id());
      }
      // The silent runner goes on while the further attempt is at its runner.
      node.updateAttempt(exchange, 1, new AttemptResult.Prevailed(runners.size()));
    }
    Set<String> different = new HashSet<>(runners);
    assertWithMessage("runners in order: %s", runners).that(different.size()).isAtMost(2);
  }
}
