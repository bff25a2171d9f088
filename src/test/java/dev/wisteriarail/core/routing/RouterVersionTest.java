package dev.wisteriarail.core.routing;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.engine.EngineReport;
import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.engine.ReplicaStatus;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import dev.wisteriarail.core.result.SettingsException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouterVersionTest {

  private static final ModelId MODEL = ModelId.of("x1");
  private static final CustomerId CUSTOMER = CustomerId.of("cx");
  private static final RunnerId RUNNER = RunnerId.of("r01");

  @ParameterizedTest
  @CsvSource({"v1, old", "v2, new", "v3, ''"})
  void waitingRequestGoesToTheVersionInForceOnly(String inForce, String expected)
      throws SettingsException {
    RunnerTable runners = RunnerTable.create();
    runners.acceptReport(report());
    Optional<Route> route =
        Router.create(FailureDomain.of("fd1"), 1)
            .choose(
                new RouteRequest(request(), Urgency.NORMAL, runner -> true),
                configuration(inForce),
                runners,
                replica -> true);
    assertThat(route.flatMap(Route::replica).map(ReplicaId::value).orElse("")).isEqualTo(expected);
  }

  private static EngineReport report() {
    return new EngineReport(
        RUNNER,
        Incarnation.of(1),
        FencingNumber.NONE,
        false,
        0,
        0,
        0,
        List.of(replica("old", "v1"), replica("new", "v2")));
  }

  private static ReplicaStatus replica(String id, String version) {
    return new ReplicaStatus(ReplicaId.of(id), MODEL, version, ReplicaPhase.READY, 1, 0, List.of());
  }

  private static InboundRequest request() {
    return new InboundRequest(
        RequestId.of("q1"),
        CUSTOMER,
        KindId.of("fault-summary"),
        new Target.ModelTarget(MODEL, Optional.empty()),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        "{}");
  }

  private static Configuration configuration(String version) throws SettingsException {
    List<Section> sections =
        new ArrayList<>(AnswersReader.read(List.of(Path.of("examples", "cwmtawe"))).sections());
    LoadTimes times = new LoadTimes(Duration.ZERO, Duration.ZERO, Duration.ZERO);
    sections.add(
        new Section(
            "x",
            Optional.empty(),
            List.of(new ModelSpec(MODEL, CUSTOMER, version, 1, 1, 1, times, List.of())),
            List.of(),
            List.of(new CustomerSpec(CUSTOMER, List.of(), 1, 1, 1, 1, 1)),
            List.of(),
            List.of(),
            List.of()));
    return Configuration.merge(Revision.of(1), sections);
  }
}
