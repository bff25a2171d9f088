package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.RunnerRole;
import dev.wisteriarail.core.config.RunnerSpec;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.routing.ReadyReplica;
import dev.wisteriarail.core.routing.RunnerTable;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Estimates the minimum time until a request can start, from the queue, the load and, for an idle
 * model, the storage tier of its checkpoint.
 *
 * <p>The estimate is a lower bound: a request is refused only if it would start too late even in
 * the best case.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class StartTimeEstimator {

  private static final Duration REPORT_LAG = Duration.ofMillis(500);
  private static final double SMOOTHING = 0.1;
  private static final double DEFAULT_SLOT_SECONDS = 0.001;

  private final Map<TargetKey, Double> slotSeconds = new TreeMap<>();

  private StartTimeEstimator() {}

  /** Returns an estimator without samples. */
  static StartTimeEstimator create() {
    return new StartTimeEstimator();
  }

  /** Records how long an attempt occupied its slot. */
  void record(TargetKey target, Duration slotTime) {
    double seconds = slotTime.toNanos() / 1e9;
    slotSeconds.merge(target, seconds, (known, sample) -> known + SMOOTHING * (sample - known));
  }

  /** Returns the expected time that a request occupies a slot, in seconds. */
  double expectedSlotSeconds(TargetKey target) {
    return slotSeconds.getOrDefault(target, DEFAULT_SLOT_SECONDS);
  }

  /** Returns the minimum time until a replica of a model can be ready; zero for a plain service. */
  Duration coldStartDelay(Target target, Configuration configuration, RunnerTable runners) {
    if (!(target instanceof Target.ModelTarget modelTarget)
        || runners.isLoadingOrReady(modelTarget.model())) {
      return Duration.ZERO;
    }
    ModelSpec model = configuration.models().get(modelTarget.model());
    return model == null
        ? Duration.ZERO
        : candidates(model, configuration, runners)
            .map(runner -> model.loadTimes().of(model.tierOn(runner)))
            .min(Comparator.naturalOrder())
            .map(time -> time.compareTo(REPORT_LAG) < 0 ? Duration.ZERO : time.minus(REPORT_LAG))
            .orElse(Duration.ZERO);
  }

  private static Stream<RunnerId> candidates(
      ModelSpec model, Configuration configuration, RunnerTable runners) {
    return configuration.runners().values().stream()
        .filter(runner -> runner.role() == RunnerRole.MODEL)
        .filter(runner -> runner.memoryBytes() >= model.memoryBytes())
        .map(RunnerSpec::id)
        .filter(runners::isUsable);
  }

  /** Returns whether a model needs more memory than any runner has in total. */
  static boolean exceedsEveryRunner(Target target, Configuration configuration) {
    if (!(target instanceof Target.ModelTarget modelTarget)) {
      return false;
    }
    ModelSpec model = configuration.models().get(modelTarget.model());
    return model != null
        && configuration.runners().values().stream()
            .filter(runner -> runner.role() == RunnerRole.MODEL)
            .noneMatch(runner -> runner.memoryBytes() >= model.memoryBytes());
  }

  /** Returns the minimum time until the customer's requests queued ahead of a request have run. */
  Duration queueingDelay(PendingRequest pending, WaitingQueue queue, RequestContext context) {
    Double seconds = slotSeconds.get(pending.target());
    if (seconds == null) {
      return Duration.ZERO;
    }
    int slots = slots(pending.request().target(), context);
    CustomerId customer = pending.request().customer();
    int ahead = queue.countAhead(customer, pending.target(), pending.urgency());
    if (slots == 0 || ahead < slots) {
      return Duration.ZERO;
    }
    double weight = weight(customer, context.configuration());
    double others =
        queue.waitingWeight(
            other -> other.equals(customer) ? 0 : weight(other, context.configuration()));
    double share = weight / (weight + others);
    double rounds = (ahead + 1 - slots) / (slots * share);
    return Duration.ofNanos((long) (rounds * seconds * 1e9));
  }

  private static int slots(Target target, RequestContext context) {
    List<RunnerId> serving =
        switch (target) {
          case Target.ModelTarget model -> runnersOf(model.model(), context.runners());
          case Target.ServiceTarget service ->
              Optional.ofNullable(context.configuration().services().get(service.service()))
                  .map(spec -> spec.runners().stream().filter(context.runners()::isUsable).toList())
                  .orElse(List.of());
        };
    return serving.stream()
        .map(context.configuration().runners()::get)
        .mapToInt(spec -> spec == null ? 0 : spec.slots())
        .sum();
  }

  private static List<RunnerId> runnersOf(ModelId model, RunnerTable runners) {
    return runners.readyReplicas(model).stream().map(ReadyReplica::runner).distinct().toList();
  }

  static int weight(CustomerId customer, Configuration configuration) {
    CustomerSpec spec = configuration.customers().get(customer);
    return spec == null ? 1 : Math.max(1, spec.weight());
  }
}
