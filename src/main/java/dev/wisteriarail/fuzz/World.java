package dev.wisteriarail.fuzz;

import dev.wisteriarail.fuzz.oracle.Observation;
import dev.wisteriarail.fuzz.oracle.Oracle;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Shared state of a run: time, history, oracle and fault counts. Not thread-safe. */
final class World {

  private final long seed;
  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final History history = History.create();
  private final Oracle oracle = Oracle.create();
  private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);
  private boolean faulty = true;

  private World(long seed) {
    this.seed = seed;
  }

  /** Returns the shared state of a new run. */
  static World create(long seed) {
    return new World(seed);
  }

  // Time

  Instant now() {
    return scheduler.now();
  }

  void after(Duration delay, Runnable action) {
    scheduler.after(delay, action);
  }

  void at(Instant time, Runnable action) {
    scheduler.at(time, action);
  }

  void runUntil(Instant end) {
    scheduler.runUntil(end);
  }

  // Faults

  /** Decides randomly whether a fault occurs now, and counts it if so. */
  boolean injectsFault(SeededRandom random, FaultKind kind, double probability) {
    boolean happens = random.nextBoolean(probability) && faulty;
    if (happens) {
      countFault(kind);
    }
    return happens;
  }

  void countFault(FaultKind kind) {
    faults.merge(kind, 1, Integer::sum);
  }

  /** Ends all random faults. */
  void endFaults() {
    faulty = false;
  }

  boolean isFaulty() {
    return faulty;
  }

  // Observations

  void observe(Observation observation) {
    history.add(now(), observation.toString());
    oracle.observe(now(), observation);
  }

  void recordNotable(String line) {
    history.addNotable(now(), line);
  }

  void trace(String line) {
    history.add(now(), line);
  }

  // Accessors

  SeededRandom random(String part) {
    return SeededRandom.of(seed, part);
  }

  History history() {
    return history;
  }

  Oracle oracle() {
    return oracle;
  }

  Map<FaultKind, Integer> faults() {
    return Collections.unmodifiableMap(faults);
  }
}
