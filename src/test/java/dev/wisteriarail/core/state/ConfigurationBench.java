package dev.wisteriarail.core.state;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.config.ConfigurationState;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.LoadTimes;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.membership.MembershipSimulation;
import dev.wisteriarail.core.peer.PeerMessage;
import dev.wisteriarail.peer.PeerFrame;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Benchmark of configuration propagation to all nodes, of snapshots and of heartbeats.
 *
 * <p>Run by hand: {@code java -cp target/test-classes:target/wisteriarail.jar
 * dev.wisteriarail.core.state.ConfigurationBench}. Propagation times are virtual; snapshot times
 * are measured on the machine.
 */
public final class ConfigurationBench {

  private static final int SECTION_MODELS = 5;
  private static final int RUNS = 20;

  /** Overhead of one frame: TLS 1.3 record, TCP header with timestamps, and IP header. */
  private static final int FRAME_OVERHEAD_BYTES = 22 + 32 + 20;

  private ConfigurationBench() {}

  /** Prints all figures. */
  public static void main(String[] args) throws IOException {
    PrintStream out = System.out;
    for (int nodes : List.of(9, 60, 330)) {
      printPropagation(nodes, out);
    }
    for (int models : List.of(50, 100, 350, 1_400)) {
      printSnapshot(models, out);
    }
    for (int nodes : List.of(3, 7, 9, 30, 100, 330)) {
      printHeartbeats(nodes, out);
    }
  }

  private static void printPropagation(int nodes, PrintStream out) {
    CoreFleet fleet = new CoreFleet(nodes);
    fleet.run(Duration.ofSeconds(3));
    List<NodeId> all = fleet.nodes();
    all.subList(0, nodes / 2).forEach(fleet.withoutLog::add);
    fleet.log.append("bench", InMemoryLog.change(0, "s", 1));
    Instant published = fleet.now;
    List<Long> millis = new ArrayList<>();
    while (millis.size() < nodes && Duration.between(published, fleet.now).toSeconds() < 60) {
      fleet.run(Duration.ofMillis(100));
      long inForce =
          all.stream()
              .filter(node -> fleet.core(node).configuration().revision().value() == 1)
              .count();
      while (millis.size() < inForce) {
        millis.add(Duration.between(published, fleet.now).toMillis());
      }
    }
    out.printf(
        "spread: %d nodes, %d of them cannot read the log: in force on half after %d ms, on all"
            + " after %d ms (virtual)%n",
        nodes, nodes / 2, millis.get(nodes / 2 - 1), millis.getLast());
  }

  private static void printSnapshot(int models, PrintStream out) throws IOException {
    ConfigurationState configurations = ConfigurationState.create();
    LogFollower logFollower = LogFollower.create(InMemoryLog.CELL, List.of(configurations));
    for (int i = 0; i < models / SECTION_MODELS; i++) {
      configurations.apply(
          new RecordBody.ConfigurationChanged(Revision.NONE, section(i), "a", "r"), i);
    }
    long bytes = 0;
    long best = Long.MAX_VALUE;
    int chunks = 0;
    for (int run = 0; run < RUNS; run++) {
      final long start = System.nanoTime();
      Snapshot snapshot = logFollower.snapshot();
      bytes = 0;
      chunks = 0;
      for (List<SnapshotPart> parts : snapshot.chunks()) {
        RecordBody body =
            new RecordBody.SnapshotChunk(InMemoryLog.CELL, "n1.1.s1", 9, chunks, 9, parts);
        LogRecord logged = new LogRecord(9, RecordId.of("n1.1.s1." + chunks), "n1", body);
        bytes += Codecs.json().writeValueAsBytes(logged).length;
        chunks++;
      }
      best = Math.min(best, System.nanoTime() - start);
    }
    out.printf(
        "snapshot: %d models: %d bytes in %d records, %d us%n",
        models, bytes, chunks, best / 1_000);
  }

  private static void printHeartbeats(int nodes, PrintStream out) throws IOException {
    MembershipSimulation fleet = new MembershipSimulation(nodes);
    fleet.run(Duration.ofSeconds(3));
    fleet.drainSent();
    int seconds = 30;
    fleet.run(Duration.ofSeconds(seconds));
    List<PeerMessage> sent = fleet.drainSent();
    long bytes = 0;
    for (PeerMessage message : sent) {
      PeerFrame frame =
          new PeerFrame(
              PeerFrame.VERSION, NodeId.of("n100"), Incarnation.of(1_796_000_000_000L), message);
      bytes += Integer.BYTES + Codecs.messagePack().writeValueAsBytes(frame).length;
    }
    double framed = (double) bytes / nodes / seconds;
    double messages = (double) sent.size() / nodes / seconds;
    out.printf(
        "heartbeats: %d nodes: a node sends %.1f messages/s, %.0f bytes/s of frames, %.0f bytes/s"
            + " with TLS, TCP and IP; it gets as much%n",
        nodes, messages, framed, framed + messages * FRAME_OVERHEAD_BYTES);
  }

  private static Section section(int index) {
    CustomerId customer = CustomerId.of("c" + index);
    LoadTimes times =
        new LoadTimes(Duration.ofMillis(500), Duration.ofMillis(900), Duration.ofMillis(2_000));
    List<ModelSpec> models = new ArrayList<>();
    for (int i = 0; i < SECTION_MODELS; i++) {
      ModelId id = ModelId.of("m%04d".formatted(index * SECTION_MODELS + i));
      models.add(new ModelSpec(id, customer, "v1", 1L << 34, 1, 2, times, List.of()));
    }
    return new Section(
        "c" + index,
        Optional.empty(),
        models,
        List.of(),
        List.of(new CustomerSpec(customer, List.of("%064x".formatted(index)), 1, 20, 40, 64, 256)),
        List.of(),
        List.of(),
        List.of());
  }
}
