package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Effect;
import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.AttemptId;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The request table of one node, with runners that are controlled by the test. */
final class TableFixture {

  static final Duration DEADLINE = Duration.ofSeconds(10);
  static final int SLOTS = 4;
  static final long GIBIBYTE = 1L << 30;

  final RunnerTable runners = RunnerTable.create();
  final List<Effect> effects = new ArrayList<>();
  Configuration configuration;
  boolean logDown;
  RequestTable table = newTable();
  Instant now = Instant.parse("2026-01-01T00:00:00Z");

  private TableFixture(List<CustomerSpec> customers, int slots) {
    configuration = Configuration.merge(Revision.of(1), List.of(section(customers, slots)));
  }

  static TableFixture create() {
    return create(SLOTS, limits("c1", 1), limits("c2", 1));
  }

  static TableFixture create(int slots, CustomerSpec... customers) {
    TableFixture fixture = new TableFixture(List.of(customers), slots);
    fixture.report("app1", 1);
    fixture.report("app2", 1);
    return fixture;
  }

  static CustomerSpec limits(String id, int weight) {
    return new CustomerSpec(
        CustomerId.of(id), List.of(), weight, 100_000, 100_000, 100_000, 100_000);
  }

  static RequestTable newTable() {
    NodeSettings settings =
        new NodeSettings(
            NodeId.of("n1"),
            Incarnation.of(1),
            FailureDomain.of("fd1"),
            CellId.of("main"),
            1,
            Timings.DEFAULT);
    return RequestTable.create(settings);
  }

  private static Section section(List<CustomerSpec> customers, int slots) {
    LoadTimes times =
        new LoadTimes(Duration.ofSeconds(1), Duration.ofSeconds(5), Duration.ofSeconds(20));
    List<ModelSpec> models =
        customers.stream()
            .map(
                customer ->
                    new ModelSpec(
                        ModelId.of("m-" + customer.id()),
                        customer.id(),
                        "v1",
                        16 * GIBIBYTE,
                        1,
                        1,
                        times,
                        List.of()))
            .toList();
    return new Section(
        "test",
        Optional.empty(),
        models,
        List.of(
            new AdapterSpec(
                AdapterId.of("a1"), customers.getFirst().id(), models.getFirst().id(), GIBIBYTE)),
        customers,
        List.of(
            kind("urgent", Urgency.URGENT, DEADLINE, true),
            kind("normal", Urgency.NORMAL, DEADLINE, true),
            kind("batch", Urgency.BATCH, Duration.ofHours(1), true),
            kind("dispatch", Urgency.URGENT, DEADLINE, false)),
        List.of(
            new ServiceSpec(
                ServiceId.of("s"), List.of(RunnerId.of("app1"), RunnerId.of("app2")), false)),
        List.of(
            runner("app1", RunnerRole.APPLICATION, slots),
            runner("app2", RunnerRole.APPLICATION, slots),
            runner("r1", RunnerRole.MODEL, slots),
            runner("r2", RunnerRole.MODEL, slots)));
  }

  private static KindSpec kind(String id, Urgency urgency, Duration deadline, boolean repeatable) {
    return new KindSpec(KindId.of(id), urgency, deadline, repeatable);
  }

  private static RunnerSpec runner(String id, RunnerRole role, int slots) {
    return new RunnerSpec(
        RunnerId.of(id), "", FailureDomain.of("fd1"), role, 80 * GIBIBYTE, 8, slots, true);
  }

  // Events

  void send(String id, String customer, String kind) {
    send(service(id, customer, kind, "{}"));
  }

  void send(InboundRequest request) {
    step(context -> table.accept(request, context));
  }

  void progress(AttemptId attempt, long position, String text) {
    step(
        context ->
            table.acceptProgress(new Event.AttemptProgressed(attempt, position, text), context));
  }

  void complete(AttemptId attempt) {
    end(attempt, new AttemptOutcome.Completed(200));
  }

  void end(AttemptId attempt, AttemptOutcome outcome) {
    step(context -> table.acceptAttemptEnd(new Event.AttemptEnded(attempt, outcome), context));
  }

  void crash(AttemptId attempt) {
    end(attempt, new AttemptOutcome.Broken("connection reset", true));
  }

  void readRecord(RecordBody body) {
    step(context -> table.acceptRecord(body, context));
  }

  void report(String runner, long incarnation, ReplicaStatus... replicas) {
    EngineReport report =
        new EngineReport(
            RunnerId.of(runner),
            Incarnation.of(incarnation),
            FencingNumber.NONE,
            false,
            0,
            0,
            0,
            List.of(replicas));
    runners.acceptReport(report);
    step(context -> table.acceptReport(report, context.step()));
  }

  void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (now.isBefore(end)) {
      Instant next = table.nextWakeUp().filter(due -> due.isAfter(now)).orElse(end);
      now = next.isBefore(end) ? next : end;
      step(context -> {});
    }
  }

  void step(Consumer<RequestContext> action) {
    Step step = Step.at(now);
    RequestContext context =
        new RequestContext(
            step,
            configuration,
            runners,
            replica -> true,
            logDown,
            Optional.empty(),
            1,
            (node, incarnation) -> false);
    action.accept(context);
    table.advance(context);
    effects.addAll(step.effects());
  }

  // Builders

  static InboundRequest service(String id, String customer, String kind, String body) {
    return request(
        id, customer, kind, new Target.ServiceTarget(ServiceId.of("s"), "POST", "/"), body);
  }

  static InboundRequest model(String id, String customer, String kind, String adapter) {
    return request(
        id,
        customer,
        kind,
        new Target.ModelTarget(
            ModelId.of("m-" + customer),
            adapter == null ? Optional.empty() : Optional.of(AdapterId.of(adapter))),
        "{}");
  }

  private static InboundRequest request(
      String id, String customer, String kind, Target target, String body) {
    return new InboundRequest(
        RequestId.of(id),
        CustomerId.of(customer),
        KindId.of(kind),
        target,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        body);
  }

  static ReplicaStatus ready(String customer, String replica, String... adapters) {
    return new ReplicaStatus(
        ReplicaId.of(replica),
        ModelId.of("m-" + customer),
        "v1",
        ReplicaPhase.READY,
        16 * GIBIBYTE,
        0,
        List.of(adapters).stream().map(AdapterId::of).toList());
  }

  // Accessors

  <T extends Effect> List<T> effectsOfType(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  List<Effect.Dispatch> dispatches() {
    return effectsOfType(Effect.Dispatch.class);
  }

  Effect.Dispatch lastDispatch() {
    return dispatches().getLast();
  }

  List<String> dispatched() {
    return dispatches().stream().map(dispatch -> dispatch.request().id().value()).toList();
  }

  Optional<Refusal> refusal(String id) {
    return effectsOfType(Effect.EndRequest.class).stream()
        .filter(end -> end.request().value().equals(id))
        .map(Effect.EndRequest::ending)
        .filter(RequestOutcome.Refused.class::isInstance)
        .map(ending -> ((RequestOutcome.Refused) ending).refusal())
        .findFirst();
  }
}
