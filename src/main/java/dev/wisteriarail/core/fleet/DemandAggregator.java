package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.HostedModel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Aggregates the demand for each model from the reports of all nodes.
 *
 * <p>Rates decay with {@link #HALF_LIFE}: demand shifts between models within seconds, and a model
 * that was requested recently is likely to be requested again.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
final class DemandAggregator {

  /** Half-life of an arrival's weight: a few seconds, the pace at which demand shifts. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(4);

  /** Half-life for detecting a rise: about the time in which a load from disk can respond to it. */
  private static final Duration FAST_HALF_LIFE = Duration.ofMillis(700);

  /** Recent arrivals from which a rise counts as real; fewer may be chance. */
  private static final double MIN_ARRIVALS_FOR_RISE = 3;

  private final Map<String, NodeDemand> reports = new TreeMap<>();
  private final Map<DemandKey, ArrivalRate> rates = new HashMap<>();

  /** Handles a node's report. */
  void accept(String node, long incarnation, List<ModelDemand> demands, Instant now) {
    NodeDemand previous = reports.get(node);
    Map<DemandKey, Long> counts = new HashMap<>();
    for (ModelDemand demand : demands) {
      DemandKey key = demand.key();
      counts.put(key, demand.arrivals());
      long previousCount =
          previous != null && previous.incarnation() == incarnation
              ? previous.counts().getOrDefault(key, 0L)
              : 0;
      long added = Math.max(0, demand.arrivals() - previousCount);
      if (added > 0) {
        rates.computeIfAbsent(key, ignored -> new ArrivalRate()).add(added, now);
      }
    }
    if (previous != null && previous.incarnation() == incarnation) {
      previous.counts().forEach(counts::putIfAbsent);
    }
    reports.put(node, new NodeDemand(incarnation, demands, counts, now));
  }

  /** Removes the reports that were received before a time. */
  void removeOlderThan(Instant oldest) {
    reports.values().removeIf(report -> report.at().isBefore(oldest));
  }

  /**
   * Returns the arrivals per second for a model, including its adapters if {@code adapter} is
   * empty.
   */
  double rate(String service, String model, String adapter, Instant now) {
    ArrivalRate rate = rates.get(new DemandKey(service, model, adapter));
    return rate == null ? 0 : rate.perSecond(now);
  }

  /** Returns the pending requests of all nodes, summed by model or adapter. */
  Map<DemandKey, PendingRequests> pendingRequests() {
    Map<DemandKey, PendingRequests> pending = new TreeMap<>();
    for (NodeDemand report : reports.values()) {
      for (ModelDemand demand : report.demands()) {
        if (demand.waiting() > 0 || demand.worth() > 0) {
          pending.merge(
              demand.key(),
              new PendingRequests(demand.waiting(), demand.worth(), demand.leastLeftMillis()),
              PendingRequests::plus);
        }
      }
    }
    return pending;
  }

  /**
   * Returns the demand for each model of a service that has recent arrivals, pending requests or
   * running requests.
   *
   * @param pending the pending requests of all nodes, from {@link #pendingRequests}
   * @param engines the engines of the service with their running requests
   */
  Map<String, PlanInput.DemandSummary> summarize(
      String service,
      EngineSpec spec,
      Map<DemandKey, PendingRequests> pending,
      List<PlanInput.Engine> engines,
      Instant now) {
    Map<String, PlanInput.DemandSummary> demands = new HashMap<>();
    for (HostedModel model : spec.models()) {
      PendingRequests requests = pending.get(DemandKey.of(service, model.name()));
      double rate = rate(service, model.name(), "", now);
      int running =
          engines.stream().mapToInt(each -> each.running().getOrDefault(model.name(), 0)).sum();
      if (requests != null || rate > 0 || running > 0) {
        demands.put(
            model.name(),
            new PlanInput.DemandSummary(
                requests == null ? 0 : requests.waiting(),
                requests == null ? 0 : requests.worth(),
                requests == null ? Long.MAX_VALUE : requests.leastLeftMillis(),
                rate,
                running));
      }
    }
    return demands;
  }

  /** Returns the adapters of a service that requests are waiting for, the most urgent first. */
  static List<PlanInput.AdapterDemand> adapterDemands(
      String service, Map<DemandKey, PendingRequests> pending) {
    List<PlanInput.AdapterDemand> adapterDemands = new ArrayList<>();
    pending.forEach(
        (key, requests) -> {
          if (key.service().equals(service) && !key.adapter().isEmpty() && requests.waiting() > 0) {
            adapterDemands.add(
                new PlanInput.AdapterDemand(
                    key.model(), key.adapter(), requests.waiting(), requests.leastLeftMillis()));
          }
        });
    adapterDemands.sort(Comparator.comparingLong(PlanInput.AdapterDemand::leastLeftMillis));
    return adapterDemands;
  }

  /**
   * Pending requests for a model or adapter.
   *
   * @param waiting number of waiting requests
   * @param worth their value, including callers that were asked to retry
   * @param leastLeftMillis shortest time that one of them can still wait, in milliseconds
   */
  record PendingRequests(int waiting, double worth, long leastLeftMillis) {

    PendingRequests plus(PendingRequests other) {
      return new PendingRequests(
          waiting + other.waiting,
          worth + other.worth,
          Math.min(leastLeftMillis, other.leastLeftMillis));
    }
  }

  private record NodeDemand(
      long incarnation, List<ModelDemand> demands, Map<DemandKey, Long> counts, Instant at) {}

  /** Arrival counters with exponential decay, one slow and one fast. */
  private static final class ArrivalRate {

    private double slow;
    private double fast;
    private Instant at = Instant.MIN;

    void add(long arrivals, Instant now) {
      slow = decayed(slow, HALF_LIFE, now) + arrivals;
      fast = decayed(fast, FAST_HALF_LIFE, now) + arrivals;
      at = now;
    }

    double perSecond(Instant now) {
      double recent = decayed(fast, FAST_HALF_LIFE, now);
      double fastRate = recent >= MIN_ARRIVALS_FOR_RISE ? perSecond(recent, FAST_HALF_LIFE) : 0;
      return Math.max(fastRate, perSecond(decayed(slow, HALF_LIFE, now), HALF_LIFE));
    }

    private static double perSecond(double weight, Duration halfLife) {
      return weight * Math.log(2) * 1000 / halfLife.toMillis();
    }

    private double decayed(double weight, Duration halfLife, Instant now) {
      if (weight == 0) {
        return 0;
      }
      double halfLives = (double) Duration.between(at, now).toMillis() / halfLife.toMillis();
      return weight * Math.pow(2, -halfLives);
    }
  }
}
