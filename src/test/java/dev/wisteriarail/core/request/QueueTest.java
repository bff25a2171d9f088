package dev.wisteriarail.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Dispatch order, limits and refusals of waiting requests. */
class QueueTest {

  private final TableFixture fixture = TableFixture.create(1, TableFixture.limits("c1", 1));

  @Test
  void moreUrgentClassIsServedFirst() {
    fill(fixture, 2);
    fixture.send("batch", "c1", "batch");
    fixture.send("normal", "c1", "normal");
    fixture.send("urgent", "c1", "urgent");
    finishAll(fixture, 3);
    assertThat(fixture.dispatched().subList(2, 5))
        .containsExactly("urgent", "normal", "batch")
        .inOrder();
  }

  @Test
  void earlierDeadlineOfCustomerIsServedFirst() {
    fill(fixture, 2);
    fixture.send("late", "c1", "urgent");
    fixture.send(withDeadline("early", Duration.ofSeconds(5)));
    finishAll(fixture, 2);
    assertThat(fixture.dispatched().subList(2, 4)).containsExactly("early", "late").inOrder();
  }

  @ParameterizedTest
  @CsvSource({"1, 20, 20", "3, 30, 10"})
  void customersShareByWeight(int weight, int first, int second) {
    TableFixture shared =
        TableFixture.create(1, TableFixture.limits("c1", weight), TableFixture.limits("c2", 1));
    fill(shared, 2);
    for (int i = 0; i < 100; i++) {
      shared.send("a" + i, "c1", "normal");
      shared.send("b" + i, "c2", "normal");
    }
    finishAll(shared, 40);
    List<String> served = shared.dispatched().subList(2, 42);
    assertThat(served.stream().filter(id -> id.startsWith("a")).count())
        .isIn(Range.closed(first - 1L, first + 1L));
    assertThat(served.stream().filter(id -> id.startsWith("b")).count())
        .isIn(Range.closed(second - 1L, second + 1L));
  }

  @Test
  void customerThatWasIdleHasNoShareSavedUp() {
    TableFixture shared =
        TableFixture.create(1, TableFixture.limits("c1", 1), TableFixture.limits("c2", 1));
    fill(shared, 2);
    for (int i = 0; i < 60; i++) {
      shared.send("a" + i, "c1", "normal");
    }
    finishAll(shared, 40);
    for (int i = 0; i < 20; i++) {
      shared.send("b" + i, "c2", "normal");
    }
    finishAll(shared, 10);
    List<String> served = shared.dispatched().subList(42, 52);
    assertThat(served.stream().filter(id -> id.startsWith("a")).count()).isAtLeast(4L);
  }

  @Test
  void batchIsServedWhileUrgentRequestsNeverEnd() {
    fill(fixture, 2);
    fixture.send("batch", "c1", "batch");
    for (int i = 0; i < 60; i++) {
      fixture.send("u" + i, "c1", "urgent");
    }
    finishAll(fixture, 20);
    assertThat(fixture.dispatched()).contains("batch");
    assertThat(fixture.dispatched().indexOf("batch")).isAtLeast(16);
  }

  @Test
  void batchLeavesSlotsToUrgentRequests() {
    TableFixture wide = TableFixture.create();
    for (int i = 0; i < 20; i++) {
      wide.send("b" + i, "c1", "batch");
    }
    assertThat(wide.dispatches()).hasSize(2 * (TableFixture.SLOTS - 1));
    wide.send("u", "c2", "urgent");
    assertThat(wide.dispatched()).contains("u");
  }

  @Test
  void floodLeavesSlotsToOtherCustomers() {
    TableFixture wide = TableFixture.create();
    for (int i = 0; i < 100; i++) {
      wide.send("f" + i, "c1", "urgent");
    }
    wide.send("u", "c2", "urgent");
    assertThat(wide.dispatched()).contains("u");
  }

  @Test
  void limitsOfCustomerRefuseWithTimeToComeBack() {
    CustomerSpec narrow = new CustomerSpec(CustomerId.of("c1"), List.of(), 1, 10, 2, 1, 1);
    TableFixture limited = TableFixture.create(1, narrow);
    limited.send("q1", "c1", "normal");
    limited.send("q2", "c1", "normal");
    limited.send("q3", "c1", "normal");
    assertThat(limited.dispatched()).containsExactly("q1");
    assertRefused(limited, "q3", ResultCode.QUEUE_FULL);
    limited.complete(limited.lastDispatch().attempt());
    limited.send("q4", "c1", "normal");
    assertRefused(limited, "q4", ResultCode.RATE_LIMITED);
    assertThat(limited.refusal("q4").orElseThrow().retryAfter())
        .isEqualTo(Optional.of(Duration.ofMillis(100)));
  }

  @Test
  void adapterOfAnotherModelOrCustomerIsUnknown() {
    TableFixture wide = TableFixture.create();
    wide.send(TableFixture.model("q1", "c2", "normal", "a1"));
    assertRefused(wide, "q1", ResultCode.ADAPTER_UNKNOWN);
  }

  @Test
  void callerMayLowerItsClassAndNotRaiseIt() {
    InboundRequest request = TableFixture.service("q", "c1", "normal", "{}");
    assertThat(
            Admission.effectiveUrgency(
                withUrgency(request, Urgency.URGENT),
                fixture.configuration.kinds().get(request.kind())))
        .isEqualTo(Urgency.NORMAL);
    assertThat(
            Admission.effectiveUrgency(
                withUrgency(request, Urgency.BATCH),
                fixture.configuration.kinds().get(request.kind())))
        .isEqualTo(Urgency.BATCH);
  }

  @Test
  void idleModelThatLoadsTooLongIsRefusedAtOnceAndLoadedForTheReturn() {
    TableFixture wide = TableFixture.create();
    wide.report("r1", 1);
    wide.send(TableFixture.model("q1", "c1", "urgent", null));
    assertRefused(wide, "q1", ResultCode.DEADLINE_UNREACHABLE);
    Duration retryAfter = wide.refusal("q1").orElseThrow().retryAfter().orElseThrow();
    assertThat(retryAfter).isGreaterThan(TableFixture.DEADLINE);
    List<Demand> demands = wide.table.collectDemand(wide.now);
    assertThat(demands).hasSize(1);
    assertThat(demands.getFirst().waiting()).isEqualTo(1);
  }

  @Test
  void requestThatWaitsIsRefusedWhenItsModelCanNoLongerBeLoadedInTime() {
    TableFixture wide = TableFixture.create();
    wide.report("r1", 1);
    wide.send(TableFixture.model("q1", "c1", "batch", null));
    wide.advance(Duration.ofMinutes(59));
    assertThat(wide.refusal("q1")).isEqualTo(Optional.empty());
    wide.advance(Duration.ofSeconds(45));
    assertRefused(wide, "q1", ResultCode.DEADLINE_UNREACHABLE);
  }

  @Test
  void queueThatTakesTooLongRefusesAtOnce() {
    for (int i = 0; i < 4; i++) {
      fixture.send("w" + i, "c1", "normal");
    }
    fixture.now = fixture.now.plusSeconds(4);
    finishAll(fixture, 2);
    for (int i = 0; i < 10; i++) {
      fixture.send("q" + i, "c1", "normal");
    }
    assertThat(fixture.refusal("q1")).isEqualTo(Optional.empty());
    assertRefused(fixture, "q9", ResultCode.DEADLINE_UNREACHABLE);
  }

  @Test
  void nothingRunsAgainstFullConcurrency() {
    CustomerSpec narrow = new CustomerSpec(CustomerId.of("c1"), List.of(), 1, 100, 100, 1, 100);
    TableFixture limited = TableFixture.create(4, narrow);
    limited.send("q1", "c1", "normal");
    limited.send("q2", "c1", "normal");
    assertThat(limited.dispatched()).containsExactly("q1");
    limited.complete(limited.lastDispatch().attempt());
    assertThat(limited.dispatched()).containsExactly("q1", "q2").inOrder();
  }

  // Helpers

  private static void fill(TableFixture fixture, int count) {
    for (int i = 0; i < count; i++) {
      fixture.send("fill" + i, "c1", "normal");
    }
  }

  /** Completes the oldest running attempts one by one, which frees their slots. */
  private static void finishAll(TableFixture fixture, int count) {
    int ended = fixture.effectsOfType(Effect.EndRequest.class).size();
    for (int i = 0; i < count; i++) {
      AttemptId oldest = fixture.dispatches().get(ended + i).attempt();
      fixture.complete(oldest);
    }
  }

  private static InboundRequest withDeadline(String id, Duration deadline) {
    InboundRequest request = TableFixture.service(id, "c1", "urgent", "{}");
    return new InboundRequest(
        request.id(),
        request.customer(),
        request.kind(),
        request.target(),
        request.key(),
        request.urgency(),
        Optional.of(deadline),
        request.body());
  }

  private static InboundRequest withUrgency(InboundRequest request, Urgency urgency) {
    return new InboundRequest(
        request.id(),
        request.customer(),
        request.kind(),
        request.target(),
        request.key(),
        Optional.of(urgency),
        request.deadline(),
        request.body());
  }

  private static void assertRefused(TableFixture fixture, String id, ResultCode code) {
    Refusal refusal = fixture.refusal(id).orElseThrow();
    assertThat(refusal.code()).isEqualTo(code);
    assertThat(refusal.execution()).isEqualTo(Execution.NOT_RUN);
  }
}
