package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Event;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.ServiceSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Requests and configuration shared by the tests of this package. */
final class Requests {

  static final RunnerId SERVER = RunnerId.of("app1");
  static final Duration DEADLINE = Duration.ofSeconds(10);

  private Requests() {}

  static Section services() {
    return new Section(
        "test",
        Optional.empty(),
        List.of(),
        List.of(),
        List.of(customer("c1"), customer("c2")),
        List.of(
            new KindSpec(KindId.of("dispatch"), Urgency.URGENT, DEADLINE, false),
            new KindSpec(KindId.of("lookup"), Urgency.URGENT, DEADLINE, true)),
        List.of(
            new ServiceSpec(ServiceId.of("crew"), List.of(SERVER), false),
            new ServiceSpec(ServiceId.of("deduplicating"), List.of(SERVER), true)),
        List.of(
            new RunnerSpec(
                SERVER,
                "http://127.0.0.1:1",
                FailureDomain.of("fd1"),
                RunnerRole.APPLICATION,
                0,
                0,
                8,
                false)));
  }

  private static CustomerSpec customer(String id) {
    return new CustomerSpec(CustomerId.of(id), List.of(), 1, 1_000, 1_000, 1_000, 1_000);
  }

  static Event serverReport() {
    return new Event.EngineReported(
        new EngineReport(SERVER, Incarnation.of(1), FencingNumber.NONE, false, 0, 0, 0, List.of()));
  }

  static RequestFleet fleet(int nodes) {
    return RequestFleet.start(nodes, services(), List.of(serverReport()));
  }

  static InboundRequest order(String id, String customer, String key, String body) {
    return request(id, customer, "dispatch", "crew", Optional.of(key), body);
  }

  static InboundRequest order(String id, String key) {
    return order(id, "c1", key, "{\"phone\":7}");
  }

  static InboundRequest request(
      String id, String customer, String kind, String service, Optional<String> key, String body) {
    return new InboundRequest(
        RequestId.of(id),
        CustomerId.of(customer),
        KindId.of(kind),
        new Target.ServiceTarget(ServiceId.of(service), "POST", "/run"),
        key.map(IdempotencyKey::of),
        Optional.empty(),
        Optional.empty(),
        body);
  }
}
