package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Weighs, for each idle replica, the cold starts that keeping it would avoid against the
 * accelerator time that it would occupy.
 *
 * <p>The probability of the next request is estimated from the gaps between the model's own
 * arrivals, combined with the gaps of all models as a prior while there are few of its own. A
 * replica stays loaded as long as there is a horizon over which the cost of the avoided cold starts
 * exceeds the accelerator time that it occupies.
 */
final class HistoryKeepAlive implements KeepAlivePolicy {

  private static final double POOL_DECAY = 0.999;
  private static final double POOL_PRIOR_WEIGHT = 4;
  private static final double PRIOR_WEIGHT = 2;
  private static final double REGULAR_ARRIVAL_PROBABILITY = 0.9;
  private static final double EVICTION_HORIZON_SECONDS = 1_800;

  private final Map<ModelId, ArrivalHistory> histories = new HashMap<>();
  private final GapHistogram pooledGaps = GapHistogram.uniform(POOL_DECAY, POOL_PRIOR_WEIGHT);
  private final DailyArrivalProfile dailyProfile = new DailyArrivalProfile();

  private HistoryKeepAlive() {}

  static HistoryKeepAlive create() {
    return new HistoryKeepAlive();
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {
    dailyProfile.advance(now);
    dailyProfile.record(count, now);
    ArrivalHistory history = histories.computeIfAbsent(model, id -> new ArrivalHistory());
    double previousActivity = history.lastActivitySeconds();
    long previousGapCount = history.gapCount();
    history.record(count, DailyArrivalProfile.seconds(now), dailyProfile.activitySeconds());
    if (history.gapCount() > previousGapCount) {
      pooledGaps.add(dailyProfile.activitySeconds() - previousActivity, 1.0 / history.gapCount());
    }
  }

  @Override
  public void startRound(PlanningRound round) {
    dailyProfile.advance(round.now());
  }

  // Decisions

  @Override
  public Optional<String> unloadReason(
      PlacedReplica replica, ModelSpec model, PlanningRound round) {
    if (isArrivalExpected(model, round, 0)) {
      return Optional.empty();
    }
    double value = coldStartValue(model, round);
    double idle = idleActivity(replica, round);
    double netGain = maxNetGain(model, idle, value, dailyProfile.relativeRate(round.now()));
    if (netGain > 0) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            Locale.ROOT,
            "idle for %d s; the probability of a request within 10 min is %.0f%%, and a cold start"
                + " costs as much as %.0f s of idle accelerator time",
            KeepAlivePolicy.idleTime(replica, round.now()).toSeconds(),
            100
                * arrivalProbability(
                    model.id(), idle, 600 * dailyProfile.relativeRate(round.now())),
            value));
  }

  @Override
  public double evictionCostSeconds(PlacedReplica replica, ModelSpec model, PlanningRound round) {
    double horizon = EVICTION_HORIZON_SECONDS * dailyProfile.relativeRate(round.now());
    double probability =
        isArrivalExpected(model, round, EVICTION_HORIZON_SECONDS)
            ? REGULAR_ARRIVAL_PROBABILITY
            : arrivalProbability(model.id(), idleActivity(replica, round), horizon);
    return probability
        * burstSize(model)
        * ColdStartCost.fastestLoadTime(model).toMillis()
        / 1_000.0;
  }

  @Override
  public Optional<String> preWarmReason(ModelSpec model, PlanningRound round) {
    double lead = ColdStartCost.fastestLoadTime(model).toMillis() / 1_000.0;
    ArrivalHistory history = histories.get(model.id());
    if (history == null || !isArrivalExpected(model, round, lead)) {
      return Optional.empty();
    }
    double heldSeconds = lead + 2 * history.toleranceSeconds();
    double value = coldStartValue(model, round);
    if (REGULAR_ARRIVAL_PROBABILITY * value <= heldSeconds * model.accelerators()) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            Locale.ROOT,
            "requests arrive at regular intervals; the next is expected in %.0f s +/- %.0f s",
            history.nextSessionSeconds() - DailyArrivalProfile.seconds(round.now()),
            history.toleranceSeconds()));
  }

  @Override
  public boolean supportsPreWarming() {
    return true;
  }

  // Helpers

  private double coldStartValue(ModelSpec model, PlanningRound round) {
    return burstSize(model)
        * ColdStartCost.equivalentIdleSeconds(model, round.configuration().deployment());
  }

  private double burstSize(ModelSpec model) {
    ArrivalHistory history = histories.get(model.id());
    return history == null ? 1 : history.burstSize();
  }

  private boolean isArrivalExpected(ModelSpec model, PlanningRound round, double leadSeconds) {
    ArrivalHistory history = histories.get(model.id());
    if (history == null || !history.isRegular()) {
      return false;
    }
    double wait = history.nextSessionSeconds() - DailyArrivalProfile.seconds(round.now());
    double tolerance = history.toleranceSeconds();
    return wait <= leadSeconds + tolerance && wait >= -tolerance;
  }

  /** Returns the idle time of a replica on the activity clock, in seconds. */
  private double idleActivity(PlacedReplica replica, PlanningRound round) {
    ArrivalHistory history = histories.get(replica.model());
    double idle = KeepAlivePolicy.idleTime(replica, round.now()).toMillis() / 1_000.0;
    double sinceUse = idle * dailyProfile.relativeRate(round.now());
    return history == null
        ? sinceUse
        : Math.min(sinceUse, dailyProfile.activitySeconds() - history.lastActivitySeconds());
  }

  /** Returns the probability of a request within a horizon, given the idle time so far. */
  private double arrivalProbability(ModelId model, double idle, double horizon) {
    Optional<GapHistogram> own = gapsOf(model);
    double remaining = 0;
    double within = 0;
    for (int i = GapHistogram.bucketOf(idle); i < GapHistogram.BUCKETS; i++) {
      double weight = bucketWeight(own, i) * shareBeyond(i, idle);
      remaining += weight;
      if (GapHistogram.upperSeconds(i) <= idle + horizon) {
        within += weight;
      }
    }
    return remaining > 0 ? within / remaining : 0;
  }

  /**
   * Returns the largest expected net gain of keeping a replica over any horizon, in idle
   * accelerator seconds; 0 if no horizon has a positive gain.
   */
  private double maxNetGain(ModelSpec model, double idle, double coldStartSeconds, double rate) {
    Optional<GapHistogram> own = gapsOf(model.id());
    int first = GapHistogram.bucketOf(idle);
    double total = 0;
    for (int i = first; i < GapHistogram.BUCKETS; i++) {
      total += bucketWeight(own, i) * shareBeyond(i, idle);
    }
    double remaining = total;
    double savedSeconds = 0;
    double heldSeconds = 0;
    double maxGain = 0;
    for (int i = first; i < GapHistogram.BUCKETS && remaining > 0; i++) {
      double from = Math.max(idle, GapHistogram.lowerSeconds(i));
      double width = Math.max(0, GapHistogram.upperSeconds(i) - from) / rate;
      double bucketArrivals = bucketWeight(own, i) * shareBeyond(i, idle);
      heldSeconds += width * (remaining - bucketArrivals / 2) * model.accelerators();
      savedSeconds += bucketArrivals * coldStartSeconds;
      remaining -= bucketArrivals;
      maxGain = Math.max(maxGain, savedSeconds - heldSeconds);
    }
    return total > 0 ? maxGain / total : 0;
  }

  private Optional<GapHistogram> gapsOf(ModelId model) {
    return Optional.ofNullable(histories.get(model)).map(ArrivalHistory::gaps);
  }

  private double bucketWeight(Optional<GapHistogram> own, int bucket) {
    double prior = PRIOR_WEIGHT * pooledGaps.weight(bucket) / pooledGaps.total();
    return own.isEmpty() ? prior : own.get().weight(bucket) + prior;
  }

  private static double shareBeyond(int bucket, double idle) {
    double lower = GapHistogram.lowerSeconds(bucket);
    double upper = GapHistogram.upperSeconds(bucket);
    return idle <= lower ? 1 : Math.clamp((upper - idle) / (upper - lower), 0, 1);
  }
}
