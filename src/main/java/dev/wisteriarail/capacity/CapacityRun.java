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

/** Measures one fleet. Stateless. */
final class CapacityRun {

  private static final Duration WARM_UP = Duration.ofSeconds(6);
  private static final Duration MEASURED = Duration.ofSeconds(10);
  private static final double SECONDS = MEASURED.toSeconds();
  private static final String PEER = "peer ";
  private static final String APPEND = "append ";

  private CapacityRun() {}

  /** Returns what a fleet of a size costs. */
  static Sample measure(Size size) {
    List<NodeCore> cores = createCores(size.nodes());
    Meter meter = new Meter();
    List<BenchFleet.BenchNode> nodes = run(size, meter, cores);
    int count = size.nodes();
    double busiest = nodes.stream().mapToLong(BenchFleet.BenchNode::nanos).max().orElse(0);
    double received = nodes.stream().mapToLong(BenchFleet.BenchNode::receivedBytes).max().orElse(0);
    nodes.clear();
    long withCores = usedHeap();
    cores.clear();
    double heap = (double) (withCores - usedHeap()) / count;
    return new Sample(
        size,
        sum(meter.counts(), PEER) / SECONDS / count,
        sum(meter.bytes(), PEER) / SECONDS / count,
        rates(meter.bytes(), PEER),
        received / SECONDS,
        sum(meter.bytes(), "report") / SECONDS,
        sum(meter.bytes(), APPEND) / SECONDS,
        rates(meter.counts(), APPEND),
        shares(meter.nanos(), count),
        busiest / 1e9 / SECONDS,
        heap);
  }

  private static List<BenchFleet.BenchNode> run(Size size, Meter meter, List<NodeCore> cores) {
    BenchFleet fleet = new BenchFleet(size, meter, cores);
    fleet.start();
    fleet.run(WARM_UP);
    fleet.nodes().forEach(BenchFleet.BenchNode::restartCounts);
    meter.start();
    fleet.run(MEASURED);
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

  private static double sum(Map<String, Long> counted, String prefix) {
    return counted.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  private static Map<String, Double> rates(Map<String, Long> counted, String prefix) {
    Map<String, Double> rates = new TreeMap<>();
    counted.forEach(
        (kind, count) -> {
          if (kind.startsWith(prefix)) {
            rates.put(kind.substring(prefix.length()), count / SECONDS);
          }
        });
    return rates;
  }

  private static Map<Role, Double> shares(Map<Role, Long> nanos, int nodes) {
    Map<Role, Double> shares = new EnumMap<>(Role.class);
    nanos.forEach((role, spent) -> shares.put(role, spent / 1e9 / SECONDS / nodes));
    return shares;
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
