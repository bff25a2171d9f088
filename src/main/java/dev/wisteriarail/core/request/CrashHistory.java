package dev.wisteriarail.core.request;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.log.RecordBody;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Counts, per request content, the crashes of backend servers that were running that content.
 *
 * <p>Content that was running at {@link #CRASH_LIMIT} or more crashes is poison until {@link
 * #POISON_EXPIRY} after the last one. Content that was running at fewer crashes is a suspect until
 * it completes, or until {@link #SUSPICION_EXPIRY} after the last one.
 *
 * <p>Life cycle: one per node, updated from the log and by crashes that the node observes itself.
 * Not thread-safe; owned by the node's core.
 */
final class CrashHistory {

  /** Number of crashes in the whole fleet after which content is refused. */
  static final int CRASH_LIMIT = 2;

  /** Time for which poison content is refused after its last crash. */
  static final Duration POISON_EXPIRY = Duration.ofHours(1);

  /** Time for which content is a suspect after its last crash. */
  static final Duration SUSPICION_EXPIRY = Duration.ofMinutes(10);

  /** A crash, identified by the backend server's incarnation, which can end only once. */
  private record Crash(RunnerId runner, Incarnation incarnation) implements Comparable<Crash> {
    @Override
    public int compareTo(Crash other) {
      int order = runner.compareTo(other.runner);
      return order != 0 ? order : incarnation.compareTo(other.incarnation);
    }
  }

  /** The crashes at which one request content was running. */
  private static final class Suspicion {
    private final Set<Crash> crashes = new TreeSet<>();
    private Instant lastCrashAt = Instant.EPOCH;

    boolean isPoison() {
      return crashes.size() >= CRASH_LIMIT;
    }

    boolean isExpired(Instant now) {
      return !now.isBefore(lastCrashAt.plus(isPoison() ? POISON_EXPIRY : SUSPICION_EXPIRY));
    }
  }

  private final Map<String, Suspicion> suspicions = new TreeMap<>();

  /**
   * Applies a log record.
   *
   * @return whether the record has made any content poison
   */
  boolean apply(RecordBody body, Instant now) {
    switch (body) {
      case RecordBody.CrashSuspected suspected -> {
        return add(suspected, now);
      }
      case RecordBody.CrashRetracted retracted -> {
        Suspicion suspicion = suspicions.get(retracted.fingerprint());
        if (suspicion != null) {
          suspicion.crashes.remove(new Crash(retracted.runner(), retracted.incarnation()));
          dropIfEmpty(retracted.fingerprint(), suspicion);
        }
      }
      case RecordBody.SuspicionCleared cleared -> suspicions.remove(cleared.fingerprint());
      default -> {}
    }
    return false;
  }

  private boolean add(RecordBody.CrashSuspected suspected, Instant now) {
    suspicions.values().removeIf(suspicion -> suspicion.isExpired(now));
    Suspicion suspicion =
        suspicions.computeIfAbsent(suspected.fingerprint(), fingerprint -> new Suspicion());
    boolean before = suspicion.isPoison();
    if (suspicion.crashes.add(new Crash(suspected.runner(), suspected.incarnation()))) {
      suspicion.lastCrashAt = now;
    }
    return !before && suspicion.isPoison();
  }

  private void dropIfEmpty(String fingerprint, Suspicion suspicion) {
    if (suspicion.crashes.isEmpty()) {
      suspicions.remove(fingerprint);
    }
  }

  // Accessors

  /** Returns all recorded crashes, ordered by the fingerprint of their content. */
  List<RecordBody.CrashSuspected> crashes() {
    return suspicions.entrySet().stream()
        .flatMap(
            entry ->
                entry.getValue().crashes.stream()
                    .map(
                        crash ->
                            new RecordBody.CrashSuspected(
                                entry.getKey(), crash.runner(), crash.incarnation())))
        .toList();
  }

  boolean isEmpty() {
    return suspicions.isEmpty();
  }

  boolean isPoison(String fingerprint, Instant now) {
    Suspicion suspicion = suspicions.get(fingerprint);
    return suspicion != null && suspicion.isPoison() && !suspicion.isExpired(now);
  }

  boolean isSuspect(String fingerprint) {
    return suspicions.containsKey(fingerprint);
  }
}
