package dev.wisteriarail.codec;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wisteriarail.core.cell.Claim;
import dev.wisteriarail.core.cell.OutageRecord;
import dev.wisteriarail.core.cell.Reservation;
import dev.wisteriarail.core.cell.Successor;
import dev.wisteriarail.core.config.DeploymentSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.peer.Demand;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.core.result.Execution;
import dev.wisteriarail.core.state.SnapshotPart;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class CodecsTest {

  static Stream<RecordBody> bodies() {
    return Stream.of(
        new RecordBody.ClaimRecorded(
            CellId.of("main"), NodeId.of("n1"), Incarnation.of(7), FencingNumber.NONE),
        new RecordBody.ClaimRecorded(
            CellId.of("main"),
            NodeId.of("n1"),
            Incarnation.of(7),
            FencingNumber.of(2),
            List.of(new Successor(NodeId.of("n2"), Incarnation.of(8)))),
        new RecordBody.ClaimReleased(CellId.of("main"), FencingNumber.of(3)),
        new RecordBody.ClaimEnded(
            CellId.of("main"),
            FencingNumber.of(3),
            new Successor(NodeId.of("n2"), Incarnation.of(8))),
        new RecordBody.SuccessionNamed(
            CellId.of("main"),
            FencingNumber.of(3),
            1,
            List.of(new Successor(NodeId.of("n2"), Incarnation.of(8)))),
        new RecordBody.PredecessorAbsorbed(
            CellId.of("main"), FencingNumber.of(3), FencingNumber.of(2)),
        new RecordBody.LoadAdopted(
            CellId.of("main"),
            FencingNumber.of(3),
            FencingNumber.of(2),
            ReplicaId.of("m1.2.1"),
            ModelId.of("m1"),
            "v1",
            RunnerId.of("r1"),
            1L << 40),
        new RecordBody.LoadSettled(CellId.of("main"), FencingNumber.of(3), ReplicaId.of("m1.3.1")),
        new RecordBody.LoadDecided(
            CellId.of("main"),
            FencingNumber.of(3),
            ReplicaId.of("m1.3.1"),
            ModelId.of("m1"),
            "v1",
            RunnerId.of("r1"),
            1L << 40),
        new RecordBody.SnapshotChunk(CellId.of("main"), "n1.7.s1", 9, 0, 1, parts()),
        new RecordBody.IntentBatch(intents()),
        new RecordBody.ConfigurationChanged(
            Revision.NONE,
            new Section(
                "team",
                Optional.of(DeploymentSpec.UNNAMED),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of()),
            "author",
            "reason"));
  }

  private static List<SnapshotPart> parts() {
    Reservation held =
        new Reservation(
            ReplicaId.of("m1.3.1"),
            ModelId.of("m1"),
            "v1",
            RunnerId.of("r1"),
            1L << 40,
            FencingNumber.of(3),
            true,
            false);
    Claim claim = new Claim(FencingNumber.of(3), NodeId.of("n1"), Incarnation.of(7), List.of());
    return List.of(
        new SnapshotPart.RecentIdsPart("AAAAAAAAAAE="),
        new SnapshotPart.ConfigurationPart(Revision.of(2), 8),
        new SnapshotPart.CrashPart(
            List.of(new RecordBody.CrashSuspected("print", RunnerId.of("r1"), Incarnation.of(2)))),
        new SnapshotPart.CellPart(
            CellId.of("main"),
            FencingNumber.of(3),
            Optional.of(claim),
            4,
            List.of(claim),
            List.of(FencingNumber.of(3)),
            List.of(held),
            List.of(new SnapshotPart.ClosedReplica(ReplicaId.of("m0.1.1"), 2))),
        new SnapshotPart.IntentPart(intents(), List.of(-5L)));
  }

  private static List<RecordBody.IntentChange> intents() {
    CustomerId customer = CustomerId.of("c1");
    IdempotencyKey key = IdempotencyKey.of("k");
    RequestId request = RequestId.of("n1.7.1");
    return List.of(
        new RecordBody.IntentRecorded(
            customer, key, "hash", request, NodeId.of("n1"), Incarnation.of(7)),
        new RecordBody.IntentFinished(customer, key, request, 201, "sent"),
        new RecordBody.IntentUnresolved(customer, key, request, Execution.MAY_HAVE_RUN, "cut"),
        new RecordBody.IntentReleased(customer, key, request));
  }

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new PeerMessage.IntentsOffered(intents()),
        new PeerMessage.Heartbeat(Revision.of(4), FencingNumber.of(9), true),
        new PeerMessage.Goodbye(),
        new PeerMessage.OutageRecords(
            FencingNumber.of(3),
            List.of(
                new OutageRecord(
                    1,
                    RecordId.of("n1.7.r1"),
                    new RecordBody.UnloadDecided(
                        CellId.of("main"), FencingNumber.of(3), ReplicaId.of("m1.3.1"))))),
        new PeerMessage.OutageRecordsKept(FencingNumber.of(3), List.of(1L)),
        new PeerMessage.Probe(),
        new PeerMessage.Suspected(
            List.of(new PeerMessage.SuspectedRun(NodeId.of("n2"), Incarnation.of(3)))),
        new PeerMessage.StateRequested(Revision.of(3)),
        new PeerMessage.StateOffered("4.9", 9, 0, 1, parts()),
        new PeerMessage.DemandReported(
            List.of(
                new Demand(
                    ModelId.of("m1"),
                    Optional.empty(),
                    Urgency.URGENT,
                    3,
                    1,
                    2,
                    Duration.ofMillis(1_500)))));
  }

  @ParameterizedTest
  @MethodSource("bodies")
  void logRecordsSurviveJson(RecordBody body) throws IOException {
    LogRecord logged = new LogRecord(5, RecordId.of("n1.7.r1"), "n1", body);
    assertThat(copy(Codecs.json(), logged, LogRecord.class)).isEqualTo(logged);
  }

  @ParameterizedTest
  @MethodSource("messages")
  void peerMessagesSurviveMessagePack(PeerMessage message) throws IOException {
    assertThat(copy(Codecs.messagePack(), message, PeerMessage.class)).isEqualTo(message);
  }

  private static <T> T copy(ObjectMapper mapper, T value, Class<T> type) throws IOException {
    return mapper.readValue(mapper.writerFor(type).writeValueAsBytes(value), type);
  }
}
