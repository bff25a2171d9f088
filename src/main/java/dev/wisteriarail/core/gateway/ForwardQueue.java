package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.FairQueue;
import dev.wisteriarail.core.forward.SlotForecast;
import dev.wisteriarail.core.forward.UrgencyPolicy;
import dev.wisteriarail.core.forward.UrgentPressure;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The queue of one node: in which order waiting requests are tried, how many requests a runner may
 * have for them, and how long they are expected to wait.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class ForwardQueue {

  /** Interval at which unused state is removed. */
  private static final Duration CLEANUP_INTERVAL = Duration.ofSeconds(10);

  /** Interval at which the length of the queue is measured. */
  private static final Duration MEASURE_INTERVAL = Duration.ofSeconds(1);

  private final FairQueue<PendingForward> order = FairQueue.create(PendingForward::ticket);
  private final UrgentPressure pressure = UrgentPressure.create();
  private final Map<String, TargetQueue> targets = new HashMap<>();
  private boolean urgentQueue;
  private Optional<GatewayConfiguration> configuration = Optional.empty();
  private Optional<UrgencyPolicy> policy = Optional.empty();
  private long pass;
  private Instant nextCleanup = Instant.MIN;
  private Instant nextMeasurement = Instant.MIN;
  private boolean measuredWaiting;

  private ForwardQueue(boolean urgentQueue) {
    this.urgentQueue = urgentQueue;
  }

  /**
   * Creates an empty queue.
   *
   * @param urgentQueue whether the settings ask for queueing by urgency in all services
   */
  static ForwardQueue create(boolean urgentQueue) {
    return new ForwardQueue(urgentQueue);
  }

  /** Applies a changed setting. */
  void setUrgentQueue(boolean newUrgentQueue) {
    urgentQueue = newUrgentQueue;
    policy = Optional.empty();
  }

  /** Applies the configuration in force; it is compared by identity, as it is immutable. */
  @SuppressWarnings("ReferenceEquality")
  void apply(GatewayConfiguration current) {
    if (policy.isEmpty() || configuration.isEmpty() || configuration.get() != current) {
      configuration = Optional.of(current);
      policy = Optional.of(UrgencyPolicy.of(current, urgentQueue));
    }
  }

  /** Begins a pass over the waiting requests. */
  void beginPass(GatewayConfiguration current, Instant now) {
    apply(current);
    pass++;
    if (!now.isBefore(nextCleanup)) {
      nextCleanup = now.plus(CLEANUP_INTERVAL);
      order.advance();
      pressure.advance(now);
      targets.values().removeIf(target -> target.isUnusedSince(now.minus(CLEANUP_INTERVAL)));
    }
  }

  /** Sorts the waiting requests, given in order of arrival, into the order of this pass. */
  void sort(List<PendingForward> waiting) {
    order.sort(waiting, this::isFair);
  }

  private boolean isFair(String service) {
    return policy.isPresent() && policy.get().appliesTo(service);
  }

  /** Returns whether a request is queued fairly and by urgency. */
  boolean isFair(PendingForward forward) {
    return isFair(forward.service());
  }

  /** Returns the waiting requests for the same target, in the current pass. */
  TargetQueue target(PendingForward forward, Instant now) {
    TargetQueue target = targets.computeIfAbsent(forward.target(), key -> TargetQueue.create());
    target.begin(pass, now);
    return target;
  }

  /** Returns how many requests an engine may have for a request to be sent to it. */
  int limit(PendingForward forward, int slots, Instant now) {
    if (!isFair(forward)) {
      return slots;
    }
    boolean underPressure = pressure.isAbove(forward.engineTarget(), forward.rank(), now);
    return policy.orElseThrow().limit(forward.service(), forward.rank(), slots, underPressure);
  }

  /** Returns whether an engine with more requests than slots may interrupt a request. */
  boolean mayBePreempted(PendingForward forward) {
    return policy.isPresent() && policy.get().mayBePreempted(forward.service(), forward.rank());
  }

  /** Records that a request was sent from the queue or on its arrival. */
  void recordSent(PendingForward forward, Instant now) {
    if (isFair(forward)) {
      order.charge(forward);
      target(forward, now).recordSlot(forward, now);
    }
  }

  /**
   * Returns the expected wait of the next request in the order for a slot; empty without data or
   * for a request that a runner may have executed, which ends only with its time limit.
   */
  Optional<SlotForecast.Wait> slotWait(PendingForward forward, Instant now) {
    return isFair(forward) && forward.isUnexecuted()
        ? target(forward, now).slotWait(now)
        : Optional.empty();
  }

  /** Records that a request finds no free slot at the runners that could serve it. */
  void recordPressure(PendingForward forward, Instant now) {
    pressure.record(forward.engineTarget(), forward.rank(), now);
  }

  /** Reports the length of the queue by rank and by tenant from time to time. */
  void measure(List<PendingForward> waiting, GatewayStep step) {
    if (step.now().isBefore(nextMeasurement) || (waiting.isEmpty() && !measuredWaiting)) {
      return;
    }
    nextMeasurement = step.now().plus(MEASURE_INTERVAL);
    measuredWaiting = !waiting.isEmpty();
    Map<Integer, Integer> byRank = new TreeMap<>();
    Map<String, Integer> byTenant = new TreeMap<>();
    for (PendingForward forward : waiting) {
      byRank.merge(forward.rank(), 1, Integer::sum);
      forward
          .tenant()
          .map(TenantSpec::name)
          .ifPresent(tenant -> byTenant.merge(tenant, 1, Integer::sum));
    }
    step.emit(new GatewayEffect.QueueMeasured(byRank, byTenant));
  }
}
