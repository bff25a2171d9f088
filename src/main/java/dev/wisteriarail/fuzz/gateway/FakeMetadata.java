package dev.wisteriarail.fuzz.gateway;

import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.route.GatewayConfiguration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What the platform's store holds, and its answers to calls that reach it. Not thread-safe. */
final class FakeMetadata {

  private final List<GatewayConfiguration> configurations = new ArrayList<>();
  private final List<Entry> directory = new ArrayList<>();
  private final Map<String, RunnerEntry> newest = new LinkedHashMap<>();
  private final LeaseLog lease = LeaseLog.create();
  private final Map<String, NodeAddress> nodes = new LinkedHashMap<>();
  private long directoryFirst;

  // Writers

  void publish(GatewayConfiguration configuration) {
    configurations.add(configuration);
  }

  void put(RunnerEntry entry) {
    newest.put(entry.id(), entry);
    directory.add(new Entry(entry.id(), Optional.of(entry)));
  }

  void remove(String runner) {
    if (newest.remove(runner) != null) {
      directory.add(new Entry(runner, Optional.empty()));
    }
  }

  void register(NodeAddress address) {
    nodes.put(address.node().value(), address);
  }

  /** Drops the history of the directory; the newest entries stay. */
  void compact() {
    directoryFirst += directory.size();
    directory.clear();
  }

  // Calls

  StoreAnswer read(StoreRead call) {
    return switch (call) {
      case StoreRead.NewestConfiguration whole -> configurations(0);
      case StoreRead.NextConfiguration next -> configurations(next.from());
      case StoreRead.WholeDirectory whole ->
          new StoreAnswer.DirectoryRead(
              new DirectoryChange(
                  true, 0, directoryEnd(), List.copyOf(newest.values()), List.of()));
      case StoreRead.DirectoryChanges changes -> changes(changes.from());
      case StoreRead.Nodes all -> new StoreAnswer.NodesRead(List.copyOf(nodes.values()));
    };
  }

  /** Returns whether a waiting read has something to return. */
  boolean hasNews(StoreRead call) {
    return !(call instanceof StoreRead.NextConfiguration next)
        || next.from() < configurations.size();
  }

  private StoreAnswer configurations(long from) {
    boolean news = from < configurations.size();
    return new StoreAnswer.ConfigurationRead(
        news ? Optional.of(configurations.getLast()) : Optional.empty(), configurations.size());
  }

  private StoreAnswer changes(long from) {
    if (from < directoryFirst) {
      return new StoreAnswer.RecordsDropped();
    }
    Map<String, Entry> last = new LinkedHashMap<>();
    for (Entry entry : directory.subList((int) (from - directoryFirst), directory.size())) {
      last.put(entry.runner(), entry);
    }
    List<RunnerEntry> entries = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (Entry entry : last.values()) {
      entry.value().ifPresentOrElse(entries::add, () -> removed.add(entry.runner()));
    }
    return new StoreAnswer.DirectoryRead(
        new DirectoryChange(false, from, directoryEnd(), entries, removed));
  }

  LeaseAnswer call(LeaseCall call) {
    return lease.call(call);
  }

  private long directoryEnd() {
    return directoryFirst + directory.size();
  }

  GatewayConfiguration configuration() {
    return configurations.getLast();
  }

  private record Entry(String runner, Optional<RunnerEntry> value) {}
}
