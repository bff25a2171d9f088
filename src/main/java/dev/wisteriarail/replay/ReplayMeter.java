package dev.wisteriarail.replay;

import dev.wisteriarail.core.engine.ReplicaPhase;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.RequestOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Measures a replay from outside the nodes: at the callers and at the engines.
 *
 * <p>Accelerator time is measured from the start of the replay to the last arrival. Not
 * thread-safe.
 */
final class ReplayMeter {

  private static final double MICROS_PER_HOUR = 3.6e9;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** Tolerance beyond the deadline for the network delay to the node and back. */
  private static final long LATE_MARGIN_MILLIS = 50;

  /** The state of one request from its caller's view. Mutable. */
  private static final class TrackedRequest {

    private final TraceLine line;
    private final long arrivedMicros;
    private final boolean cold;
    private final long deadlineMillis;
    private boolean dispatched;
    private boolean firstTokenSeen;

    private TrackedRequest(TraceLine line, long arrivedMicros, boolean cold, long deadlineMillis) {
      this.line = line;
      this.arrivedMicros = arrivedMicros;
      this.cold = cold;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final VirtualTime time;
  private final long endMicros;
  private final Map<RequestId, TrackedRequest> openRequests = new HashMap<>();
  private final Map<String, Integer> refusedByCode = new TreeMap<>();
  private final Map<String, Integer> refusedByKind = new TreeMap<>();
  private final Map<String, Integer> refusedByCustomer = new TreeMap<>();
  private final Histogram coldStart = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram modelWait = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram firstToken = new Histogram(SIGNIFICANT_DIGITS);
  private final List<TimelineSample> samples = new ArrayList<>();
  private Collection<ReplayEngine> engines = List.of();
  private long accountedMicros;
  private double idleMicros;
  private double busyMicros;
  private int idleAccelerators;
  private int busyAccelerators;
  private int requests;
  private int served;
  private int coldStarts;
  private int late;
  private int undispatched;
  private int loads;
  private int unloads;
  private long overcommitBytes;
  private int extraReplicas;

  ReplayMeter(VirtualTime time, long endMicros) {
    this.time = time;
    this.endMicros = endMicros;
    accountedMicros = time.micros();
  }

  /** Sets the engines to measure. */
  void setEngines(Collection<ReplayEngine> watched) {
    engines = watched;
  }

  // Callers

  void recordArrival(RequestId request, TraceLine line, long deadlineMillis) {
    ModelId model = ModelId.of(line.model());
    boolean cold = engines.stream().noneMatch(engine -> engine.hasReady(model));
    openRequests.put(request, new TrackedRequest(line, time.micros(), cold, deadlineMillis));
    requests++;
    undispatched++;
    coldStarts += cold ? 1 : 0;
  }

  void recordDispatch(RequestId request) {
    TrackedRequest tracked = openRequests.get(request);
    if (tracked == null || tracked.dispatched) {
      return;
    }
    tracked.dispatched = true;
    undispatched--;
    countLate(tracked);
    recordWait(tracked, millisSince(tracked));
  }

  void recordFirstToken(RequestId request) {
    TrackedRequest tracked = openRequests.get(request);
    if (tracked != null && !tracked.firstTokenSeen) {
      tracked.firstTokenSeen = true;
      firstToken.recordValue(millisSince(tracked));
    }
  }

  void recordEnd(RequestId request, RequestOutcome outcome) {
    TrackedRequest tracked = openRequests.remove(request);
    if (tracked == null) {
      return;
    }
    if (!tracked.dispatched) {
      undispatched--;
      countLate(tracked);
      recordWait(tracked, Math.max(millisSince(tracked), tracked.deadlineMillis));
    }
    switch (outcome) {
      case RequestOutcome.Completed completed -> served++;
      case RequestOutcome.Refused refused -> {
        refusedByCode.merge(refused.refusal().code().name(), 1, Integer::sum);
        refusedByKind.merge(tracked.line.kind(), 1, Integer::sum);
        refusedByCustomer.merge(tracked.line.customer(), 1, Integer::sum);
      }
    }
  }

  private void countLate(TrackedRequest tracked) {
    late += millisSince(tracked) > tracked.deadlineMillis + LATE_MARGIN_MILLIS ? 1 : 0;
  }

  private void recordWait(TrackedRequest tracked, long millis) {
    modelWait.recordValue(tracked.cold ? millis : 0);
    if (tracked.cold) {
      coldStart.recordValue(millis);
    }
  }

  // Engines

  /** Applies a change of the engines' state after accumulating the accelerator time up to it. */
  void applyChange(Runnable change) {
    accumulateTime();
    change.run();
    recountReplicas();
  }

  void countLoad() {
    loads++;
  }

  void countUnload() {
    unloads++;
  }

  private void accumulateTime() {
    long until = Math.min(time.micros(), endMicros);
    double passed = Math.max(0, until - accountedMicros);
    idleMicros += passed * idleAccelerators;
    busyMicros += passed * busyAccelerators;
    accountedMicros = Math.max(accountedMicros, until);
  }

  private void recountReplicas() {
    idleAccelerators = 0;
    busyAccelerators = 0;
    Map<ModelId, Integer> replicas = new HashMap<>();
    for (ReplayEngine engine : engines) {
      long heldBytes = 0;
      for (ReplayEngine.Replica replica : engine.replicas()) {
        heldBytes += replica.bytes();
        countReplica(replica, replicas);
      }
      overcommitBytes = Math.max(overcommitBytes, heldBytes - engine.spec().memoryBytes());
    }
  }

  private void countReplica(ReplayEngine.Replica replica, Map<ModelId, Integer> replicas) {
    if (replica.activeRequests() > 0) {
      busyAccelerators += replica.model().accelerators();
    } else {
      idleAccelerators += replica.model().accelerators();
    }
    int count = replicas.merge(replica.model().id(), 1, Integer::sum);
    extraReplicas = Math.max(extraReplicas, count - replica.model().maxReplicas());
  }

  /** Records a sample of the fleet's state. */
  void recordSample() {
    int ready = 0;
    int loading = 0;
    long heldBytes = 0;
    for (ReplayEngine engine : engines) {
      heldBytes += engine.usedBytes();
      for (ReplayEngine.Replica replica : engine.replicas()) {
        ready += replica.phase() == ReplicaPhase.READY ? 1 : 0;
        loading += replica.phase() == ReplicaPhase.LOADING ? 1 : 0;
      }
    }
    samples.add(new TimelineSample(time.micros() / 1_000, ready, loading, undispatched, heldBytes));
  }

  // Accessors

  int openRequests() {
    return openRequests.size();
  }

  ReplayResult.WithTimeline result(String deployment, String policy) {
    accumulateTime();
    int refused = refusedByCode.values().stream().mapToInt(Integer::intValue).sum();
    ReplayResult result =
        new ReplayResult(
            deployment,
            policy,
            requests,
            served,
            refused,
            refusedByCode,
            refusedByKind,
            refusedByCustomer,
            openRequests.size(),
            late,
            coldStarts,
            Percentiles.of(coldStart),
            Percentiles.of(modelWait),
            Percentiles.of(firstToken),
            idleMicros / MICROS_PER_HOUR,
            busyMicros / MICROS_PER_HOUR,
            loads,
            unloads,
            Math.max(0, overcommitBytes),
            extraReplicas);
    return new ReplayResult.WithTimeline(result, samples);
  }

  private long millisSince(TrackedRequest tracked) {
    return Duration.ofNanos((time.micros() - tracked.arrivedMicros) * 1_000).toMillis();
  }
}
