package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.RequestTrait;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Writes to the store which requests are refused because they crash runners, one at a time, so that
 * nodes that start later know it even if no other node is left.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class RefusalSaver {

  /** Delay after a failed write. */
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private final Set<Set<RequestTrait>> unsaved = new LinkedHashSet<>();
  private Set<RequestTrait> saving = Set.of();
  private Instant nextWriteAt = Instant.MIN;

  private RefusalSaver() {}

  static RefusalSaver create() {
    return new RefusalSaver();
  }

  void add(CrashRefusal refusal) {
    unsaved.add(refusal.traits());
  }

  /** Returns whether refusals are unsaved and no write is in progress or delayed. */
  boolean isDue(Instant now) {
    return !unsaved.isEmpty() && saving.isEmpty() && !now.isBefore(nextWriteAt);
  }

  /** Returns the refusal to write now, and marks its write as started. */
  Optional<CrashRefusal> next(List<CrashRefusal> known) {
    unsaved.removeIf(
        traits -> known.stream().noneMatch(refusal -> refusal.traits().equals(traits)));
    Optional<CrashRefusal> next =
        known.stream().filter(refusal -> unsaved.contains(refusal.traits())).findFirst();
    saving = next.map(CrashRefusal::traits).orElse(Set.of());
    return next;
  }

  /** Handles the result of a write. */
  void accept(boolean succeeded, Instant now) {
    if (succeeded) {
      unsaved.remove(saving);
    } else {
      nextWriteAt = now.plus(RETRY_DELAY);
    }
    saving = Set.of();
  }
}
