package dev.wisteriarail.capacity;

import dev.wisteriarail.core.NodeCore;
import dev.wisteriarail.core.NodeSettings;
import dev.wisteriarail.core.Timings;
import dev.wisteriarail.core.id.CellId;
import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.placement.PlacementPolicy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Measures the costs of a fleet of a given size. Stateless. */
final class CapacityBenchmark {

  private static final Duration WARM_UP = Duration.ofSeconds(6);
  private static final Duration MEASUREMENT_TIME = Duration.ofSeconds(10);
  private static final double MEASURED_SECONDS = MEASUREMENT_TIME.toSeconds();
  private static final String PEER_PREFIX = "peer ";
  private static final String APPEND_PREFIX = "append ";

  private CapacityBenchmark() {}

  /** Runs a fleet of the given size and returns its costs. */
  static Sample measure(Size size) {
    List<NodeCore> cores = createCores(size.nodes());
    Meter meter = new Meter();
    List<BenchFleet.BenchNode> nodes = run(size, meter, cores);
    int count = size.nodes();
    double maxProcessorNanos =
        nodes.stream().mapToLong(BenchFleet.BenchNode::processorNanos).max().orElse(0);
    double maxReceivedBytes =
        nodes.stream().mapToLong(BenchFleet.BenchNode::receivedBytes).max().orElse(0);
    nodes.clear();
    long heapWithCores = usedHeap();
    cores.clear();
    double heapPerNode = (double) (heapWithCores - usedHeap()) / count;
    return new Sample(
        size,
        sumByPrefix(meter.counts(), PEER_PREFIX) / MEASURED_SECONDS / count,
        sumByPrefix(meter.bytes(), PEER_PREFIX) / MEASURED_SECONDS / count,
        ratesByPrefix(meter.bytes(), PEER_PREFIX),
        maxReceivedBytes / MEASURED_SECONDS,
        sumByPrefix(meter.bytes(), "report") / MEASURED_SECONDS,
        sumByPrefix(meter.bytes(), APPEND_PREFIX) / MEASURED_SECONDS,
        ratesByPrefix(meter.counts(), APPEND_PREFIX),
        coreShares(meter.nanos(), count),
        maxProcessorNanos / 1e9 / MEASURED_SECONDS,
        heapPerNode);
  }

  private static List<BenchFleet.BenchNode> run(Size size, Meter meter, List<NodeCore> cores) {
    BenchFleet fleet = new BenchFleet(size, meter, cores);
    fleet.start();
    fleet.run(WARM_UP);
    fleet.nodes().forEach(BenchFleet.BenchNode::resetCounts);
    meter.start();
    fleet.run(MEASUREMENT_TIME);
    return fleet.nodes();
  }

  private static List<NodeCore> createCores(int count) {
    List<NodeCore> cores = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      cores.add(
          NodeCore.create(
              new NodeSettings(
                  NodeId.of("n" + i),
                  Incarnation.of(1),
                  FailureDomain.of("fd" + i % 7),
                  CellId.of("main"),
                  i,
                  Timings.DEFAULT),
              PlacementPolicy.arrivalDriven().planner()));
    }
    return cores;
  }

  // Helpers

  private static double sumByPrefix(Map<String, Long> counters, String prefix) {
    return counters.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  private static Map<String, Double> ratesByPrefix(Map<String, Long> counters, String prefix) {
    Map<String, Double> rates = new TreeMap<>();
    counters.forEach(
        (kind, count) -> {
          if (kind.startsWith(prefix)) {
            rates.put(kind.substring(prefix.length()), count / MEASURED_SECONDS);
          }
        });
    return rates;
  }

  private static Map<Role, Double> coreShares(Map<Role, Long> nanos, int nodes) {
    Map<Role, Double> shares = new EnumMap<>(Role.class);
    nanos.forEach(
        (role, roleNanos) -> shares.put(role, roleNanos / 1e9 / MEASURED_SECONDS / nodes));
    return shares;
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
