package dev.wisteriarail.audit;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.spi.LogBatch;
import dev.wisteriarail.spi.LogService;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AuditTrailTest {

  private static final CellId CELL = CellId.of("main");

  private final List<LogRecord> records = new ArrayList<>();

  @Test
  void decisionIsToldWithTheFiguresItWasMadeOn() throws WisteriarailException {
    publishExample();
    claim("n1", -1);
    long fence = records.size() - 1L;
    load(fence, "m001.a", 22_528);
    load(fence, "m001.b", 22_528);
    List<String> lines = trail().explainDecision("m001.b");
    assertThat(lines).hasSize(1);
    assertThat(lines.getFirst()).contains("n1 decided to load m001 v2 as m001.b on r04");
    assertThat(lines.getFirst()).contains("it reserves 22528 MiB");
    assertThat(lines.getFirst()).contains("22528 MiB of 98304 MiB on r04 were reserved before");
    assertThat(lines.getFirst()).contains("1 of at most 4 replicas were decided before");
  }

  @Test
  void takeoverAndVoidDecisionAreTold() throws WisteriarailException {
    publishExample();
    claim("n1", -1);
    long old = records.size() - 1L;
    claim("n2", old);
    load(old, "m001.a", 22_528);
    List<AuditEntry> entries = trail().entries();
    assertThat(entries.get(entries.size() - 2).sentence())
        .contains("n1 held it under fencing number " + old);
    assertThat(entries.getLast().sentence()).startsWith("a void decision");
  }

  @Test
  void modelAndRunnerAreExplained() throws WisteriarailException {
    publishExample();
    claim("n1", -1);
    load(records.size() - 1L, "m001.a", 22_528);
    String model = String.join("\n", trail().explainModel(ModelId.of("m001")));
    assertThat(model)
        .contains("to customer c01, takes 22720 MiB with its adapters and may have 4 replicas");
    assertThat(model).contains("1 replicas are decided now");
    String runner = String.join("\n", trail().explainRunner(RunnerId.of("r04")));
    assertThat(runner).contains("22528 MiB of 98304 MiB are reserved");
    assertThat(trail().explainRequest("q1").getFirst()).contains("keeps nothing of request q1");
  }

  @Test
  void nameIsFoundAsWholeWordOnly() throws WisteriarailException {
    publishExample();
    claim("n1", -1);
    load(records.size() - 1L, "m001.a", 22_528);
    assertThat(trail().entries().getLast().mentions("r04")).isTrue();
    assertThat(trail().entries().getLast().mentions("r0")).isFalse();
  }

  private void publishExample() throws WisteriarailException {
    List<Section> sections = AnswersReader.read(List.of(Path.of("examples", "cwmtawe"))).sections();
    for (String name : List.of("platform", "c01")) {
      Section section =
          sections.stream()
              .filter(candidate -> candidate.name().equals(name))
              .findFirst()
              .orElseThrow();
      append(new RecordBody.ConfigurationChanged(Revision.NONE, section, "ann", "first"));
    }
  }

  private void claim(String node, long previous) {
    append(
        new RecordBody.ClaimRecorded(
            CELL, NodeId.of(node), Incarnation.of(1), FencingNumber.of(previous)));
  }

  private void load(long fence, String replica, long mebibytes) {
    append(
        new RecordBody.LoadDecided(
            CELL,
            FencingNumber.of(fence),
            ReplicaId.of(replica),
            ModelId.of("m001"),
            "v2",
            RunnerId.of("r04"),
            mebibytes << 20));
  }

  private void append(RecordBody body) {
    records.add(new LogRecord(records.size(), RecordId.of("x" + records.size()), "n1", body));
  }

  private AuditTrail trail() throws WisteriarailException {
    return AuditTrail.read(new ReadOnlyLog(), CELL);
  }

  private final class ReadOnlyLog implements LogService {

    @Override
    public AppendOutcome append(RecordId record, String writer, RecordBody body) {
      throw new AssertionError("the audit trail appends nothing");
    }

    @Override
    public LogBatch read(long from, Duration wait) {
      return new LogBatch(records.subList((int) from, records.size()), records.size(), 0);
    }
  }
}
