package dev.wisteriarail.core;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.OrderOutcome;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.placement.FixedTimeoutPlanner;
import dev.wisteriarail.core.request.AttemptOutcome;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class NodeCoreTest {

  private static final RunnerId RUNNER = RunnerId.of("r1");
  private static final ModelId MODEL = ModelId.of("m1");
  private static final CustomerId CUSTOMER = CustomerId.of("c1");
  private static final KindId KIND = KindId.of("default");
  private static final long GIBIBYTE = 1L << 30;
  private static final Duration DEADLINE = Duration.ofSeconds(10);

  private final NodeCore core =
      NodeCore.create(
          new NodeSettings(
              NodeId.of("n1"),
              Incarnation.of(1),
              FailureDomain.of("fd1"),
              CellId.of("main"),
              1,
              Timings.DEFAULT),
          FixedTimeoutPlanner.withTimeout(Duration.ofMinutes(1)));
  private final List<Effect> effects = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private long offset;

  @Test
  void idleModelIsDecidedReadBackOrderedAndServed() {
    start();
    send("q1");
    RecordBody.LoadDecided decision = appended(RecordBody.LoadDecided.class);
    assertThat(loadOrders()).isEmpty();

    readBack(decision);
    assertThat(loadOrders()).hasSize(1);
    assertThat(loadOrders().getFirst().fence()).isEqualTo(decision.fence());

    report(decision, ReplicaPhase.READY);
    Effect.Dispatch dispatch = effectsOf(Effect.Dispatch.class).getFirst();
    feed(new Event.AttemptProgressed(dispatch.attempt(), 0, "hello"));
    feed(new Event.AttemptEnded(dispatch.attempt(), new AttemptOutcome.Completed(200)));
    assertThat(effectsOf(Effect.AnswerChunk.class).getFirst().text()).isEqualTo("hello");
    assertThat(effectsOf(Effect.EndRequest.class).getFirst().ending())
        .isEqualTo(new RequestOutcome.Completed(200));
  }

  @Test
  void burstForIdleModelIsDecidedOnce() {
    start();
    for (int i = 0; i < 20; i++) {
      send("q" + i);
    }
    assertThat(appendedAll(RecordBody.LoadDecided.class)).hasSize(1);
  }

  @Test
  void decisionOfReplacedControllerIsNotOrdered() {
    start();
    send("q1");
    RecordBody.LoadDecided decision = appended(RecordBody.LoadDecided.class);
    readBack(
        new RecordBody.ClaimRecorded(
            CellId.of("main"), NodeId.of("n2"), Incarnation.of(1), decision.fence()));
    readBack(decision);
    assertThat(loadOrders()).isEmpty();
  }

  @Test
  void requestPastItsDeadlineIsRefusedAsNotRun() {
    start();
    send("q1");
    now = now.plus(DEADLINE);
    feed(new Event.TimerFired());
    RequestOutcome ending = effectsOf(Effect.EndRequest.class).getFirst().ending();
    assertThat(((RequestOutcome.Refused) ending).refusal().code())
        .isEqualTo(ResultCode.DEADLINE_PASSED);
  }

  // Helpers

  private void start() {
    readBack(new RecordBody.ConfigurationChanged(Revision.NONE, section(), "test", "start"));
    readBack(appended(RecordBody.ClaimRecorded.class));
    feed(new Event.EngineReported(emptyReport()));
    Effect.OrderEngine raised = effectsOf(Effect.OrderEngine.class).getFirst();
    assertThat(raised.body()).isInstanceOf(EngineOrder.RaiseFence.class);
    feed(new Event.OrderAnswered(raised.order(), RUNNER, new OrderOutcome.Done()));
  }

  private List<Effect.OrderEngine> loadOrders() {
    return effectsOf(Effect.OrderEngine.class).stream()
        .filter(order -> order.body() instanceof EngineOrder.LoadReplica)
        .toList();
  }

  private void send(String id) {
    feed(
        new Event.RequestArrived(
            new InboundRequest(
                RequestId.of(id),
                CUSTOMER,
                KIND,
                new Target.ModelTarget(MODEL, Optional.empty()),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                "{}")));
  }

  private void readBack(RecordBody body) {
    LogRecord logged = new LogRecord(offset, RecordId.of("x" + offset), "n1", body);
    offset++;
    feed(new Event.LogRead(List.of(logged), offset, 0));
  }

  private void report(RecordBody.LoadDecided decision, ReplicaPhase phase) {
    ReplicaStatus status =
        new ReplicaStatus(decision.replica(), MODEL, "v1", phase, decision.bytes(), 0, List.of());
    feed(
        new Event.EngineReported(
            new EngineReport(
                RUNNER,
                Incarnation.of(1),
                decision.fence(),
                false,
                0,
                0,
                decision.bytes(),
                List.of(status))));
  }

  private static EngineReport emptyReport() {
    return new EngineReport(
        RUNNER, Incarnation.of(1), FencingNumber.NONE, false, 0, 0, 0, List.of());
  }

  private void feed(Event event) {
    effects.addAll(core.handle(event, now));
  }

  private <T extends Effect> List<T> effectsOf(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private <T extends RecordBody> List<T> appendedAll(Class<T> type) {
    return effectsOf(Effect.Append.class).stream()
        .map(Effect.Append::body)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private <T extends RecordBody> T appended(Class<T> type) {
    return appendedAll(type).getFirst();
  }

  private static Section section() {
    LoadTimes times =
        new LoadTimes(Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(4));
    return new Section(
        "test",
        Optional.empty(),
        List.of(new ModelSpec(MODEL, CUSTOMER, "v1", 16 * GIBIBYTE, 1, 1, times, List.of())),
        List.of(),
        List.of(new CustomerSpec(CUSTOMER, List.of(), 1, 100, 100, 100, 100)),
        List.of(new KindSpec(KIND, Urgency.NORMAL, DEADLINE, true)),
        List.of(),
        List.of(
            new RunnerSpec(
                RUNNER,
                "http://127.0.0.1:1",
                FailureDomain.of("fd1"),
                RunnerRole.MODEL,
                80 * GIBIBYTE,
                8,
                4,
                true)));
  }
}
