package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The platform's metadata store: its records and its answers to calls.
 *
 * <p>A restore from an older copy starts a new era and loses the records written since the copy.
 * Not thread-safe.
 */
final class FakeMetadataStore {

  private final List<Timed<GatewayConfiguration>> configurations = new ArrayList<>();
  private final List<Timed<DirectoryRecord>> directory = new ArrayList<>();
  private final List<Timed<NodeAddress>> nodes = new ArrayList<>();
  private final List<Timed<CrashRefusal>> refusals = new ArrayList<>();
  private final LeaseLog lease = LeaseLog.create();
  private long era;
  private long firstDirectoryOffset;

  // Writers

  void publish(GatewayConfiguration configuration, Instant now) {
    configurations.add(new Timed<>(now, configuration));
  }

  void put(RunnerEntry entry, Instant now) {
    directory.add(new Timed<>(now, new DirectoryRecord(entry.id(), Optional.of(entry))));
  }

  void register(NodeAddress address, Instant now) {
    nodes.add(new Timed<>(now, address));
  }

  void save(CrashRefusal refusal, Instant now) {
    refusals.add(new Timed<>(now, refusal));
  }

  /** Drops the history of the directory and keeps its newest entries. */
  void compact() {
    firstDirectoryOffset = directory.size();
  }

  /** Starts a new era from a copy; records written after the time of the copy are lost. */
  void restore(Instant copiedAt) {
    era++;
    truncate(configurations, copiedAt);
    truncate(directory, copiedAt);
    truncate(nodes, copiedAt);
    truncate(refusals, copiedAt);
    firstDirectoryOffset = Math.min(firstDirectoryOffset, directory.size());
    lease.restore(era, copiedAt);
  }

  private static <T> void truncate(List<Timed<T>> records, Instant copiedAt) {
    while (records.size() > 1 && records.getLast().at().isAfter(copiedAt)) {
      records.removeLast();
    }
  }

  // Calls

  StoreAnswer read(StoreRead call, Instant now) {
    return switch (call) {
      case StoreRead.NewestConfiguration whole -> readConfiguration(0);
      case StoreRead.NextConfiguration next -> readConfiguration(next.from().offset());
      case StoreRead.WholeDirectory whole ->
          new StoreAnswer.DirectoryRead(
              new DirectoryChange(
                  true, position(0), directoryEnd(), differenceSince(0).entries(), List.of()));
      case StoreRead.DirectoryChanges changes -> readDirectoryChanges(changes.from().offset());
      case StoreRead.Nodes all -> {
        Map<String, NodeAddress> newest = new LinkedHashMap<>();
        nodes.forEach(each -> newest.put(each.value().node().value(), each.value()));
        yield new StoreAnswer.NodesRead(List.copyOf(newest.values()), era);
      }
      case StoreRead.CrashRefusals all ->
          new StoreAnswer.CrashRefusalsRead(
              refusals.stream().map(saved -> asOf(saved, now)).distinct().toList(), era);
    };
  }

  /** Returns a saved refusal with the time that remains of it. */
  private static CrashRefusal asOf(Timed<CrashRefusal> saved, Instant now) {
    CrashRefusal refusal = saved.value();
    return new CrashRefusal(
        refusal.traits(),
        refusal.crashes(),
        refusal.remainingMillis() - Duration.between(saved.at(), now).toMillis(),
        refusal.termMillis());
  }

  /** Returns whether a long-polling read can be answered. */
  boolean hasUpdate(StoreRead call) {
    return !(call instanceof StoreRead.NextConfiguration next)
        || next.from().offset() != configurations.size();
  }

  private StoreAnswer readConfiguration(long from) {
    if (from > configurations.size()) {
      return new StoreAnswer.RecordsDropped(era);
    }
    boolean updated = from < configurations.size();
    return new StoreAnswer.ConfigurationRead(
        updated ? Optional.of(configurations.getLast().value()) : Optional.empty(),
        position(configurations.size()));
  }

  private StoreAnswer readDirectoryChanges(long from) {
    if (from < firstDirectoryOffset || from > directory.size()) {
      return new StoreAnswer.RecordsDropped(era);
    }
    DirectoryDifference changed = differenceSince((int) from);
    return new StoreAnswer.DirectoryRead(
        new DirectoryChange(
            false, position(from), directoryEnd(), changed.entries(), changed.removed()));
  }

  private DirectoryDifference differenceSince(int from) {
    Map<String, DirectoryRecord> last = new LinkedHashMap<>();
    for (Timed<DirectoryRecord> each : directory.subList(from, directory.size())) {
      last.put(each.value().runner(), each.value());
    }
    List<RunnerEntry> entries = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (DirectoryRecord entry : last.values()) {
      entry.value().ifPresentOrElse(entries::add, () -> removed.add(entry.runner()));
    }
    return new DirectoryDifference(entries, removed);
  }

  LeaseAnswer call(LeaseCall call, Instant now) {
    return lease.call(call, now);
  }

  private LogPosition directoryEnd() {
    return position(directory.size());
  }

  private LogPosition position(long offset) {
    return LogPosition.of(era, offset);
  }

  private record DirectoryRecord(String runner, Optional<RunnerEntry> value) {}

  private record DirectoryDifference(List<RunnerEntry> entries, List<String> removed) {}

  /** A record and the time of its write. */
  record Timed<T>(Instant at, T value) {}
}
