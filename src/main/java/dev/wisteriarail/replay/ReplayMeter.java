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
 * Measures a replay from the outside: at the callers and at the engines.
 *
 * <p>Accelerator time counts from the start of the trace to its last arrival. Not thread-safe.
 */
final class ReplayMeter {

  private static final double MICROS_AN_HOUR = 3.6e9;
  private static final int DIGITS = 3;

  /** Allowance for the way of a request to its node and back. */
  private static final long LATE_AFTER_MILLIS = 50;

  /** One request as its caller sees it. Mutable. */
  private static final class Seen {

    private final TraceLine line;
    private final long arrivedMicros;
    private final boolean cold;
    private final long deadlineMillis;
    private boolean dispatched;
    private boolean firstTokenSeen;

    private Seen(TraceLine line, long arrivedMicros, boolean cold, long deadlineMillis) {
      this.line = line;
      this.arrivedMicros = arrivedMicros;
      this.cold = cold;
      this.deadlineMillis = deadlineMillis;
    }
  }

  private final VirtualTime time;
  private final long endMicros;
  private final Map<RequestId, Seen> open = new HashMap<>();
  private final Map<String, Integer> refusedByCode = new TreeMap<>();
  private final Map<String, Integer> refusedByKind = new TreeMap<>();
  private final Map<String, Integer> refusedByCustomer = new TreeMap<>();
  private final Histogram coldStart = new Histogram(DIGITS);
  private final Histogram modelWait = new Histogram(DIGITS);
  private final Histogram firstToken = new Histogram(DIGITS);
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

  /** Sets the engines that are measured. */
  void watch(Collection<ReplayEngine> watched) {
    engines = watched;
  }

  // Callers

  void arrived(RequestId request, TraceLine line, long deadlineMillis) {
    ModelId model = ModelId.of(line.model());
    boolean cold = engines.stream().noneMatch(engine -> engine.hasReady(model));
    open.put(request, new Seen(line, time.micros(), cold, deadlineMillis));
    requests++;
    undispatched++;
    coldStarts += cold ? 1 : 0;
  }

  void dispatched(RequestId request) {
    Seen seen = open.get(request);
    if (seen == null || seen.dispatched) {
      return;
    }
    seen.dispatched = true;
    undispatched--;
    countLate(seen);
    recordWait(seen, millisSince(seen));
  }

  void firstToken(RequestId request) {
    Seen seen = open.get(request);
    if (seen != null && !seen.firstTokenSeen) {
      seen.firstTokenSeen = true;
      firstToken.recordValue(millisSince(seen));
    }
  }

  void ended(RequestId request, RequestOutcome ending) {
    Seen seen = open.remove(request);
    if (seen == null) {
      return;
    }
    if (!seen.dispatched) {
      undispatched--;
      countLate(seen);
      recordWait(seen, Math.max(millisSince(seen), seen.deadlineMillis));
    }
    switch (ending) {
      case RequestOutcome.Completed completed -> served++;
      case RequestOutcome.Refused refused -> {
        refusedByCode.merge(refused.refusal().code().name(), 1, Integer::sum);
        refusedByKind.merge(seen.line.kind(), 1, Integer::sum);
        refusedByCustomer.merge(seen.line.customer(), 1, Integer::sum);
      }
    }
  }

  private void countLate(Seen seen) {
    late += millisSince(seen) > seen.deadlineMillis + LATE_AFTER_MILLIS ? 1 : 0;
  }

  private void recordWait(Seen seen, long millis) {
    modelWait.recordValue(seen.cold ? millis : 0);
    if (seen.cold) {
      coldStart.recordValue(millis);
    }
  }

  // Engines

  /** Carries out a change of the engines' state and accounts for the time up to it. */
  void change(Runnable change) {
    account();
    change.run();
    count();
  }

  void countLoad() {
    loads++;
  }

  void countUnload() {
    unloads++;
  }

  private void account() {
    long until = Math.min(time.micros(), endMicros);
    double passed = Math.max(0, until - accountedMicros);
    idleMicros += passed * idleAccelerators;
    busyMicros += passed * busyAccelerators;
    accountedMicros = Math.max(accountedMicros, until);
  }

  private void count() {
    idleAccelerators = 0;
    busyAccelerators = 0;
    Map<ModelId, Integer> replicas = new HashMap<>();
    for (ReplayEngine engine : engines) {
      long held = 0;
      for (ReplayEngine.Replica replica : engine.replicas()) {
        held += replica.bytes();
        countReplica(replica, replicas);
      }
      overcommitBytes = Math.max(overcommitBytes, held - engine.spec().memoryBytes());
    }
  }

  private void countReplica(ReplayEngine.Replica replica, Map<ModelId, Integer> replicas) {
    if (replica.active() > 0) {
      busyAccelerators += replica.model().accelerators();
    } else {
      idleAccelerators += replica.model().accelerators();
    }
    int count = replicas.merge(replica.model().id(), 1, Integer::sum);
    extraReplicas = Math.max(extraReplicas, count - replica.model().maxReplicas());
  }

  /** Keeps a sample of the fleet's state. */
  void sample() {
    int ready = 0;
    int loading = 0;
    long held = 0;
    for (ReplayEngine engine : engines) {
      held += engine.usedBytes();
      for (ReplayEngine.Replica replica : engine.replicas()) {
        ready += replica.phase() == ReplicaPhase.READY ? 1 : 0;
        loading += replica.phase() == ReplicaPhase.LOADING ? 1 : 0;
      }
    }
    samples.add(new TimelineSample(time.micros() / 1_000, ready, loading, undispatched, held));
  }

  // Accessors

  int openRequests() {
    return open.size();
  }

  ReplayResult.WithTimeline result(String deployment, String policy) {
    account();
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
            open.size(),
            late,
            coldStarts,
            Percentiles.of(coldStart),
            Percentiles.of(modelWait),
            Percentiles.of(firstToken),
            idleMicros / MICROS_AN_HOUR,
            busyMicros / MICROS_AN_HOUR,
            loads,
            unloads,
            Math.max(0, overcommitBytes),
            extraReplicas);
    return new ReplayResult.WithTimeline(result, samples);
  }

  private long millisSince(Seen seen) {
    return Duration.ofNanos((time.micros() - seen.arrivedMicros) * 1_000).toMillis();
  }
}
