package dev.wisteriarail.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Cost samples along each dimension of the fleet size, the slopes fitted to them, and the cost
 * extrapolated to the target size. Immutable.
 *
 * @param samples samples by the dimension that they vary
 * @param slopes growth of each measure per unit of each dimension, by measure, then by dimension
 * @param atTarget extrapolated cost by measure: the value of the base sample plus, for each
 *     dimension, the slope times the distance from base to target
 */
public record CapacityReport(
    Map<String, List<Sample>> samples,
    Map<String, Map<String, Double>> slopes,
    Map<String, Double> atTarget) {

  private static final Size BASE = new Size(9, 20, 100, 45, 60);
  private static final Size TARGET = new Size(330, 600, 1_400, 4_300, 30);

  /** Measures all samples, which takes about a minute. */
  public static CapacityReport measure() {
    CapacityBenchmark.measure(BASE);
    Map<String, List<Sample>> samples = new TreeMap<>();
    samples.put("nodes", new ArrayList<>());
    for (int nodes : List.of(3, 9, 20, 40, 60)) {
      Size size = new Size(nodes, BASE.runners(), BASE.models(), 5.0 * nodes, 60);
      samples.get("nodes").add(CapacityBenchmark.measure(size));
    }
    samples.put("runners", new ArrayList<>());
    for (int runners : List.of(10, 20, 40, 80)) {
      Size size = new Size(BASE.nodes(), runners, BASE.models(), 45, 60);
      samples.get("runners").add(CapacityBenchmark.measure(size));
    }
    samples.put("models", new ArrayList<>());
    for (int models : List.of(50, 100, 200, 400)) {
      Size size = new Size(BASE.nodes(), BASE.runners(), models, 45, 60);
      samples.get("models").add(CapacityBenchmark.measure(size));
    }
    samples.put("requestsPerSecondPerNode", new ArrayList<>());
    for (int rate : List.of(0, 5, 10, 20)) {
      Size size = new Size(BASE.nodes(), BASE.runners(), BASE.models(), rate * 9.0, 60);
      samples.get("requestsPerSecondPerNode").add(CapacityBenchmark.measure(size));
    }
    samples.put("changesPerHour", new ArrayList<>());
    for (int changes : List.of(0, 720, 3_600)) {
      Size size = new Size(BASE.nodes(), BASE.runners(), BASE.models(), 45, changes);
      samples.get("changesPerHour").add(CapacityBenchmark.measure(size));
    }
    return fromSamples(samples);
  }

  private static CapacityReport fromSamples(Map<String, List<Sample>> samples) {
    Sample base = samples.get("nodes").get(1);
    Map<String, Map<String, Double>> slopes = new TreeMap<>();
    Map<String, Double> atTarget = new TreeMap<>();
    measures()
        .forEach(
            (measure, value) -> {
              Map<String, Double> slopesByDimension = new TreeMap<>();
              double total = value.applyAsDouble(base);
              for (Map.Entry<String, List<Sample>> entry : samples.entrySet()) {
                String dimension = entry.getKey();
                double slope = leastSquaresSlope(entry.getValue(), dimension, value);
                slopesByDimension.put(dimension, slope);
                total +=
                    slope
                        * (dimensionValue(TARGET, dimension)
                            - dimensionValue(base.size(), dimension));
              }
              slopes.put(measure, slopesByDimension);
              atTarget.put(measure, total);
            });
    return new CapacityReport(samples, slopes, atTarget);
  }

  // Helpers

  private static Map<String, ToDoubleFunction<Sample>> measures() {
    Map<String, ToDoubleFunction<Sample>> measures = new TreeMap<>();
    measures.put("peerMessagesPerSecond", Sample::peerMessagesPerSecond);
    measures.put("peerBytesPerSecond", Sample::peerBytesPerSecond);
    measures.put("controllerPeerBytesPerSecond", Sample::controllerPeerBytesPerSecond);
    measures.put("reportBytesPerSecond", Sample::reportBytesPerSecond);
    measures.put("logReadBytesPerSecond", Sample::logReadBytesPerSecond);
    measures.put("busiestCoreShare", Sample::busiestCoreShare);
    measures.put("heapBytesPerNode", Sample::heapBytesPerNode);
    for (Role role : Role.values()) {
      measures.put("coreShare " + role, sample -> sample.coreShareByRole().getOrDefault(role, 0.0));
    }
    return measures;
  }

  /** Returns the slope of the least-squares line through the samples. */
  private static double leastSquaresSlope(
      List<Sample> samples, String dimension, ToDoubleFunction<Sample> value) {
    double meanX =
        samples.stream().mapToDouble(s -> dimensionValue(s.size(), dimension)).average().orElse(0);
    double meanY = samples.stream().mapToDouble(value).average().orElse(0);
    double numerator = 0;
    double denominator = 0;
    for (Sample sample : samples) {
      double distance = dimensionValue(sample.size(), dimension) - meanX;
      numerator += distance * (value.applyAsDouble(sample) - meanY);
      denominator += distance * distance;
    }
    return numerator / denominator;
  }

  private static double dimensionValue(Size size, String dimension) {
    return switch (dimension) {
      case "nodes" -> size.nodes();
      case "runners" -> size.runners();
      case "models" -> size.models();
      case "requestsPerSecondPerNode" -> size.requestsPerSecond() / size.nodes();
      case "changesPerHour" -> size.changesPerHour();
      default -> throw new IllegalArgumentException(dimension);
    };
  }
}
