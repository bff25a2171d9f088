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
 * What the callers of all nodes want of each model, merged from the nodes' reports.
 *
 * <p>Rates fall by half in {@link #HALF_LIFE}: demand moves between models within seconds, and a
 * model that was asked for a moment ago is likely to be asked for again.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class DemandBook {

  /** Time in which the weight of an arrival falls by half: a few seconds, as demand moves. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(4);

  /** The same for noticing a rise: about the time in which a load from disk can answer it. */
  private static final Duration FAST_HALF_LIFE = Duration.ofMillis(700);

  /** Recent arrivals from which a rise is believed; fewer may be chance. */
  private static final double RISE_ARRIVALS = 3;

  private final Map<String, NodeReport> reports = new TreeMap<>();
  private final Map<DemandKey, Rate> rates = new HashMap<>();

  /** Takes a node's report. */
  void accept(String node, long incarnation, List<ModelDemand> demands, Instant now) {
    NodeReport before = reports.get(node);
    Map<DemandKey, Long> counts = new HashMap<>();
    for (ModelDemand demand : demands) {
      DemandKey key = demand.key();
      counts.put(key, demand.arrivals());
      long known =
          before != null && before.incarnation() == incarnation
              ? before.counts().getOrDefault(key, 0L)
              : 0;
      long added = Math.max(0, demand.arrivals() - known);
      if (added > 0) {
        rates.computeIfAbsent(key, ignored -> new Rate()).add(added, now);
      }
    }
    if (before != null && before.incarnation() == incarnation) {
      before.counts().forEach(counts::putIfAbsent);
    }
    reports.put(node, new NodeReport(incarnation, demands, counts, now));
  }

  /** Drops what nodes wanted that were not heard since. */
  void forgetBefore(Instant oldest) {
    reports.values().removeIf(report -> report.at().isBefore(oldest));
  }

  /** Returns arrivals a second of a model, its adapters included where the adapter is empty. */
  double rate(String service, String model, String adapter, Instant now) {
    Rate rate = rates.get(new DemandKey(service, model, adapter));
    return rate == null ? 0 : rate.perSecond(now);
  }

  /** Returns what is wanted now, merged over the nodes. */
  Map<DemandKey, Want> wants() {
    Map<DemandKey, Want> wants = new TreeMap<>();
    for (NodeReport report : reports.values()) {
      for (ModelDemand demand : report.demands()) {
        if (demand.waiting() > 0 || demand.worth() > 0) {
          wants.merge(
              demand.key(),
              new Want(demand.waiting(), demand.worth(), demand.leastLeftMillis()),
              Want::plus);
        }
      }
    }
    return wants;
  }

  /**
   * Returns what is wanted of each model of a service that is asked for, waited for or running.
   *
   * @param wants what all callers wait for, from {@link #wants}
   * @param known the engines of the service, which tell what runs
   */
  Map<String, PlanInput.ModelNeed> needs(
      String service,
      EngineSpec spec,
      Map<DemandKey, Want> wants,
      List<PlanInput.Engine> known,
      Instant now) {
    Map<String, PlanInput.ModelNeed> needs = new HashMap<>();
    for (HostedModel model : spec.models()) {
      Want want = wants.get(DemandKey.of(service, model.name()));
      double rate = rate(service, model.name(), "", now);
      int running =
          known.stream().mapToInt(each -> each.running().getOrDefault(model.name(), 0)).sum();
      if (want != null || rate > 0 || running > 0) {
        needs.put(
            model.name(),
            new PlanInput.ModelNeed(
                want == null ? 0 : want.waiting(),
                want == null ? 0 : want.worth(),
                want == null ? Long.MAX_VALUE : want.leastLeftMillis(),
                rate,
                running));
      }
    }
    return needs;
  }

  /** Returns the adapters of a service that requests wait for, the most urgent first. */
  static List<PlanInput.AdapterWant> adapterWants(String service, Map<DemandKey, Want> wants) {
    List<PlanInput.AdapterWant> adapterWants = new ArrayList<>();
    wants.forEach(
        (key, want) -> {
          if (key.service().equals(service) && !key.adapter().isEmpty() && want.waiting() > 0) {
            adapterWants.add(
                new PlanInput.AdapterWant(
                    key.model(), key.adapter(), want.waiting(), want.leastLeftMillis()));
          }
        });
    adapterWants.sort(Comparator.comparingLong(PlanInput.AdapterWant::leastLeftMillis));
    return adapterWants;
  }

  /**
   * Requests that wait.
   *
   * @param waiting their number
   * @param worth their value, that of callers told to come back included
   * @param leastLeftMillis shortest time that one of them can still wait
   */
  record Want(int waiting, double worth, long leastLeftMillis) {

    Want plus(Want other) {
      return new Want(
          waiting + other.waiting,
          worth + other.worth,
          Math.min(leastLeftMillis, other.leastLeftMillis));
    }
  }

  private record NodeReport(
      long incarnation, List<ModelDemand> demands, Map<DemandKey, Long> counts, Instant at) {}

  /** Counts of arrivals that fade, one slowly and one fast. */
  private static final class Rate {

    private double slow;
    private double fast;
    private Instant at = Instant.MIN;

    void add(long arrivals, Instant now) {
      slow = faded(slow, HALF_LIFE, now) + arrivals;
      fast = faded(fast, FAST_HALF_LIFE, now) + arrivals;
      at = now;
    }

    double perSecond(Instant now) {
      double recent = faded(fast, FAST_HALF_LIFE, now);
      double risen = recent >= RISE_ARRIVALS ? perSecond(recent, FAST_HALF_LIFE) : 0;
      return Math.max(risen, perSecond(faded(slow, HALF_LIFE, now), HALF_LIFE));
    }

    private static double perSecond(double weight, Duration halfLife) {
      return weight * Math.log(2) * 1000 / halfLife.toMillis();
    }

    private double faded(double weight, Duration halfLife, Instant now) {
      if (weight == 0) {
        return 0;
      }
      double halfLives = (double) Duration.between(at, now).toMillis() / halfLife.toMillis();
      return weight * Math.pow(2, -halfLives);
    }
  }
}
