package dev.wisteriarail.core.placement;

import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.id.ModelId;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Weighs, for each idle replica, the cold start that it may spare against the accelerators that it
 * holds until then.
 *
 * <p>The chance of a next request comes from the model's own gaps, filled up with the gaps of all
 * models while it has few of its own. A replica stays while some horizon exists over which the
 * spared cold starts are worth more than the time held.
 */
final class HistoryResidency implements Residency {

  private static final double POOL_FADING = 0.999;
  private static final double POOL_PRIOR = 4;
  private static final double PRIOR_GAPS = 2;
  private static final double REGULAR_CHANCE = 0.9;
  private static final double EVICTION_HORIZON_SECONDS = 1_800;

  private final Map<ModelId, ArrivalHistory> histories = new HashMap<>();
  private final GapHistogram pool = GapHistogram.spreadEvenly(POOL_FADING, POOL_PRIOR);
  private final DailyRhythm rhythm = new DailyRhythm();

  private HistoryResidency() {}

  static HistoryResidency create() {
    return new HistoryResidency();
  }

  @Override
  public void recordArrivals(ModelId model, int count, Instant now) {
    rhythm.advance(now);
    rhythm.record(count, now);
    ArrivalHistory history = histories.computeIfAbsent(model, id -> new ArrivalHistory());
    double before = history.lastActivity();
    long counted = history.counted();
    history.record(count, DailyRhythm.seconds(now), rhythm.activity());
    if (history.counted() > counted) {
      pool.add(rhythm.activity() - before, 1.0 / history.counted());
    }
  }

  @Override
  public void startRound(Round round) {
    rhythm.advance(round.now());
  }

  // Decisions

  @Override
  public Optional<String> expiry(PlacedReplica replica, ModelSpec model, Round round) {
    if (isExpected(model, round, 0)) {
      return Optional.empty();
    }
    double worth = worth(model, round);
    double idle = idleActivity(replica, round);
    double gain = bestGain(model, idle, worth, rhythm.rate(round.now()));
    if (gain > 0) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            Locale.ROOT,
            "idle for %d s; the chance of a request within 10 min is %.0f%% and a cold start is"
                + " worth %.0f s of idle accelerator",
            Residency.idleTime(replica, round.now()).toSeconds(),
            100 * chance(model.id(), idle, 600 * rhythm.rate(round.now())),
            worth));
  }

  @Override
  public double evictionSeconds(PlacedReplica replica, ModelSpec model, Round round) {
    double horizon = EVICTION_HORIZON_SECONDS * rhythm.rate(round.now());
    double chance =
        isExpected(model, round, EVICTION_HORIZON_SECONDS)
            ? REGULAR_CHANCE
            : chance(model.id(), idleActivity(replica, round), horizon);
    return chance * burst(model) * ColdStartCost.nearestLoad(model).toMillis() / 1_000.0;
  }

  @Override
  public Optional<String> preWarming(ModelSpec model, Round round) {
    double lead = ColdStartCost.nearestLoad(model).toMillis() / 1_000.0;
    ArrivalHistory history = histories.get(model.id());
    if (history == null || !isExpected(model, round, lead)) {
      return Optional.empty();
    }
    double held = lead + 2 * history.toleranceSeconds();
    double worth = worth(model, round);
    if (REGULAR_CHANCE * worth <= held * model.accelerators()) {
      return Optional.empty();
    }
    return Optional.of(
        String.format(
            Locale.ROOT,
            "requests come regularly; the next are expected in %.0f s, give or take %.0f s",
            history.expectedSeconds() - DailyRhythm.seconds(round.now()),
            history.toleranceSeconds()));
  }

  @Override
  public boolean preWarms() {
    return true;
  }

  // Helpers

  private double worth(ModelSpec model, Round round) {
    return burst(model) * ColdStartCost.worth(model, round.configuration().deployment());
  }

  private double burst(ModelSpec model) {
    ArrivalHistory history = histories.get(model.id());
    return history == null ? 1 : history.burst();
  }

  private boolean isExpected(ModelSpec model, Round round, double leadSeconds) {
    ArrivalHistory history = histories.get(model.id());
    if (history == null || !history.isRegular()) {
      return false;
    }
    double wait = history.expectedSeconds() - DailyRhythm.seconds(round.now());
    double tolerance = history.toleranceSeconds();
    return wait <= leadSeconds + tolerance && wait >= -tolerance;
  }

  private double idleActivity(PlacedReplica replica, Round round) {
    ArrivalHistory history = histories.get(replica.model());
    double idle = Residency.idleTime(replica, round.now()).toMillis() / 1_000.0;
    double sinceUse = idle * rhythm.rate(round.now());
    return history == null
        ? sinceUse
        : Math.min(sinceUse, rhythm.activity() - history.lastActivity());
  }

  /** Returns the chance of a request within a horizon, given the idle time. */
  private double chance(ModelId model, double idle, double horizon) {
    Optional<GapHistogram> own = ownGaps(model);
    double survivors = 0;
    double within = 0;
    for (int i = GapHistogram.bucketOf(idle); i < GapHistogram.BUCKETS; i++) {
      double weight = weight(own, i) * shareAfter(i, idle);
      survivors += weight;
      if (GapHistogram.upperSeconds(i) <= idle + horizon) {
        within += weight;
      }
    }
    return survivors > 0 ? within / survivors : 0;
  }

  /** Returns the best gain over all horizons, in idle accelerator seconds; 0 where none gains. */
  private double bestGain(ModelSpec model, double idle, double worth, double rate) {
    Optional<GapHistogram> own = ownGaps(model.id());
    int first = GapHistogram.bucketOf(idle);
    double survivors = 0;
    for (int i = first; i < GapHistogram.BUCKETS; i++) {
      survivors += weight(own, i) * shareAfter(i, idle);
    }
    double left = survivors;
    double spared = 0;
    double held = 0;
    double best = 0;
    for (int i = first; i < GapHistogram.BUCKETS && left > 0; i++) {
      double from = Math.max(idle, GapHistogram.lowerSeconds(i));
      double width = Math.max(0, GapHistogram.upperSeconds(i) - from) / rate;
      double ending = weight(own, i) * shareAfter(i, idle);
      held += width * (left - ending / 2) * model.accelerators();
      spared += ending * worth;
      left -= ending;
      best = Math.max(best, spared - held);
    }
    return survivors > 0 ? best / survivors : 0;
  }

  private Optional<GapHistogram> ownGaps(ModelId model) {
    return Optional.ofNullable(histories.get(model)).map(ArrivalHistory::gaps);
  }

  private double weight(Optional<GapHistogram> own, int bucket) {
    double filled = PRIOR_GAPS * pool.weight(bucket) / pool.total();
    return own.isEmpty() ? filled : own.get().weight(bucket) + filled;
  }

  private static double shareAfter(int bucket, double idle) {
    double lower = GapHistogram.lowerSeconds(bucket);
    double upper = GapHistogram.upperSeconds(bucket);
    return idle <= lower ? 1 : Math.clamp((upper - idle) / (upper - lower), 0, 1);
  }
}
