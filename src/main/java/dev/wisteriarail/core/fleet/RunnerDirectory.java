package dev.wisteriarail.core.fleet;

import dev.wisteriarail.core.id.LogPosition;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The runners that may receive requests, according to the entries that they write to the platform's
 * directory.
 *
 * <p>Knowledge is never rolled back: a change is applied only if it covers unknown records, an
 * entry of an earlier run does not replace one of a later run unless the earlier run goes on
 * writing, and a draining run never becomes usable again. A run that announced in a response that
 * it is leaving counts as draining, even if its entry is not marked as draining.
 *
 * <p>The first complete directory of a new store era comes from a copy that is some seconds old,
 * and the runners write again what they wrote since. An entry of the copy therefore replaces
 * nothing that is known to be later, and a runner that is missing from the copy stays in use until
 * the store would have removed a silent runner.
 *
 * <p>Life cycle: one per node process. Not thread-safe.
 */
public final class RunnerDirectory {

  /**
   * Time for which many runners whose entries vanish at once stay in use. In an outage the
   * platform's store may drop entries of live runners and restore them within two seconds. Runners
   * that really left must be out of use within two seconds, too.
   */
  private static final Duration MASS_REMOVAL_GRACE = Duration.ofMillis(1500);

  /** Number of entries that vanish at once from which an outage of the store is suspected. */
  private static final int MASS_REMOVAL_COUNT = 3;

  /** Time after which the store removes a runner that wrote nothing: three of its heartbeats. */
  private static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(4);

  /** Maximum age of a copy from which the store may be restored. */
  private static final Duration MAX_COPY_AGE = Duration.ofMinutes(1);

  /** Number of entries, one after the other, that show that a run is alive. */
  private static final int ENTRIES_OF_LIVE_RUN = 3;

  /** Age of a directory that was never known to be current. */
  private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

  private final Map<String, RunnerEntry> entries = new LinkedHashMap<>();
  private final Map<String, RetainedEntry> retained = new LinkedHashMap<>();
  private final Map<String, RemovedRunner> recentlyRemoved = new LinkedHashMap<>();
  private final Map<String, Long> leavingRuns = new LinkedHashMap<>();
  private final Map<String, EarlierRun> earlierRuns = new LinkedHashMap<>();
  private final Set<RunnerRun> unconfirmedLeaves = new LinkedHashSet<>();
  private LogPosition offset = LogPosition.NONE;
  private LogPosition significantOffset = LogPosition.NONE;
  private long changeCount;
  private Instant currentAt = Instant.MIN;

  private RunnerDirectory() {}

  /** Returns an empty directory. */
  public static RunnerDirectory create() {
    return new RunnerDirectory();
  }

  // Changes

  /**
   * Handles a change.
   *
   * @param change the change
   * @param asOf a time at which the store had nothing later; {@link Instant#MIN} if unknown
   * @param now the current time
   * @return the transitions of runners, for the log; empty if the change was already known or
   *     leaves a gap after the known records
   */
  public List<RunnerTransition> accept(DirectoryChange change, Instant asOf, Instant now) {
    boolean applicable =
        change.whole()
            ? !change.to().before(offset)
            : offset.known()
                && offset.sameEra(change.to())
                && !offset.before(change.from())
                && !change.to().before(offset);
    if (!applicable) {
      return List.of();
    }
    final boolean isSignificant = !significantPart(change).isEmpty();
    List<RunnerTransition> transitions = new ArrayList<>();
    final boolean restored = offset.known() && !offset.sameEra(change.to());
    Set<String> removed = new HashSet<>(change.removed());
    if (change.whole()) {
      removed.addAll(entries.keySet());
      change.entries().forEach(entry -> removed.remove(entry.id()));
    }
    for (RunnerEntry entry : change.entries()) {
      if (!(change.whole() && isSuperseded(entry, change.to().era(), restored))) {
        put(entry).ifPresent(transitions::add);
      }
    }
    remove(removed, restored, now, transitions);
    if (isSignificant || !transitions.isEmpty()) {
      changeCount++;
    }
    if (isSignificant) {
      significantOffset = LogPosition.max(offset, change.to());
    }
    offset = LogPosition.max(offset, change.to());
    confirm(asOf);
    return transitions;
  }

  /**
   * Returns a change of the complete directory to which known entries are added. An entry that
   * another writer replaced by an unreadable one is not removed: its runner may be running, and
   * writes again soon or is removed by the store.
   *
   * @param unreadable identifiers of the unreadable entries
   */
  public DirectoryChange withKnown(DirectoryChange change, Set<String> unreadable) {
    List<RunnerEntry> known =
        unreadable.stream().map(entries::get).filter(Objects::nonNull).toList();
    if (!change.whole() || known.isEmpty()) {
      return change;
    }
    List<RunnerEntry> all = new ArrayList<>(change.entries());
    all.addAll(known);
    return new DirectoryChange(true, change.from(), change.to(), all, change.removed());
  }

  /**
   * Returns the part of a change that is relevant to a node that received every significant change
   * so far. Entries without new content are left out, and the change extends back to the last
   * significant one.
   */
  public DirectoryChange significantPart(DirectoryChange change) {
    List<RunnerEntry> changed =
        change.entries().stream()
            .filter(entry -> !withLeaving(entry).hasSameContent(entries.get(entry.id())))
            .toList();
    List<String> removed = change.removed().stream().filter(entries::containsKey).toList();
    LogPosition from =
        offset.known() && significantOffset.before(change.from())
            ? significantOffset
            : change.from();
    return new DirectoryChange(change.whole(), from, change.to(), changed, removed);
  }

  /**
   * Handles the notification of a run, sent to this node or to a peer, that it is leaving.
   *
   * @return the transition of the runner, for the log; empty if no usable runner changed
   */
  public Optional<RunnerTransition> markLeaving(RunnerRun run) {
    if (leavingRuns.getOrDefault(run.id(), -1L) >= run.bornMillis()) {
      return Optional.empty();
    }
    leavingRuns.put(run.id(), run.bornMillis());
    unconfirmedLeaves.add(run);
    changeCount++;
    RetainedEntry retainedEntry = retained.get(run.id());
    if (retainedEntry != null && retainedEntry.entry().bornMillis() == run.bornMillis()) {
      retained.remove(run.id());
      return Optional.of(
          new RunnerTransition(retainedEntry.entry(), RunnerTransition.Kind.DRAINING));
    }
    RunnerEntry known = entries.get(run.id());
    if (known == null || known.bornMillis() != run.bornMillis() || known.draining()) {
      return Optional.empty();
    }
    RunnerEntry leaving = known.asDraining();
    entries.put(run.id(), leaving);
    return Optional.of(new RunnerTransition(leaving, RunnerTransition.Kind.DRAINING));
  }

  /**
   * Returns whether an entry of a copy is superseded: by a later entry of the run, or because the
   * store removed the runner, in an earlier era, after an entry that was no older than this one.
   */
  private boolean isSuperseded(RunnerEntry entry, long era, boolean restored) {
    RemovedRunner removed = recentlyRemoved.get(entry.id());
    if (removed != null && removed.era() < era) {
      return entry.bornMillis() < removed.entry().bornMillis()
          || entry.isOlderThan(removed.entry())
          || (entry.sequence() == removed.entry().sequence()
              && entry.hasSameContent(removed.entry()));
    }
    RunnerEntry known = entries.get(entry.id());
    return restored && known != null && entry.isOlderThan(known);
  }

  private Optional<RunnerTransition> put(RunnerEntry entry) {
    RunnerEntry known = entries.get(entry.id());
    boolean earlier =
        known != null && entry.bornMillis() != 0 && entry.bornMillis() < known.bornMillis();
    if (earlier && !isAlive(entry)) {
      return Optional.empty();
    }
    earlierRuns.remove(entry.id());
    if (earlier) {
      leavingRuns.remove(entry.id());
    }
    RunnerEntry effective = withLeaving(entry);
    if (effective.draining()) {
      leavingRuns.put(entry.id(), entry.bornMillis());
    }
    if (entry.draining()) {
      unconfirmedLeaves.remove(RunnerRun.of(entry));
    }
    entries.put(entry.id(), effective);
    retained.remove(entry.id());
    recentlyRemoved.remove(entry.id());
    if (known == null || known.bornMillis() != effective.bornMillis()) {
      return Optional.of(new RunnerTransition(effective, RunnerTransition.Kind.JOINED));
    }
    if (!known.draining() && effective.draining()) {
      return Optional.of(new RunnerTransition(effective, RunnerTransition.Kind.DRAINING));
    }
    return Optional.empty();
  }

  /**
   * Returns whether a run is alive although an entry names a later start. A run that has ended can
   * leave a delayed entry, but does not go on writing; the later start then comes from another
   * writer.
   */
  private boolean isAlive(RunnerEntry entry) {
    EarlierRun before = earlierRuns.get(entry.id());
    EarlierRun seen =
        before == null || before.entry().bornMillis() != entry.bornMillis()
            ? new EarlierRun(entry, 1)
            : before.entry().isOlderThan(entry)
                ? new EarlierRun(entry, before.entries() + 1)
                : before;
    earlierRuns.put(entry.id(), seen);
    return seen.entries() >= ENTRIES_OF_LIVE_RUN;
  }

  /** Returns the effective entry: a run that announced that it is leaving stays draining. */
  private RunnerEntry withLeaving(RunnerEntry entry) {
    boolean announced = leavingRuns.getOrDefault(entry.id(), -1L) == entry.bornMillis();
    return announced && !entry.draining() ? entry.asDraining() : entry;
  }

  /** Removes entries. A runner that is only missing from a copy stays in use for now. */
  private void remove(
      Set<String> ids, boolean restored, Instant now, List<RunnerTransition> transitions) {
    boolean massRemoval = ids.stream().filter(entries::containsKey).count() >= MASS_REMOVAL_COUNT;
    for (String id : ids) {
      RunnerEntry entry = entries.remove(id);
      earlierRuns.remove(id);
      if (entry == null) {
        continue;
      }
      if (restored) {
        retain(entry, now.plus(REREGISTRATION_GRACE));
        continue;
      }
      if (massRemoval) {
        retain(entry, now.plus(MASS_REMOVAL_GRACE));
      }
      recentlyRemoved.put(id, new RemovedRunner(entry, offset.era(), now.plus(MAX_COPY_AGE)));
      transitions.add(new RunnerTransition(entry, RunnerTransition.Kind.REMOVED));
    }
  }

  /** Keeps a runner without an entry in use until a given time, unless it is draining. */
  private void retain(RunnerEntry entry, Instant until) {
    if (!entry.draining()) {
      retained.put(entry.id(), new RetainedEntry(entry, until));
    }
  }

  /** Records a time at which the known directory was current. */
  public void confirm(Instant asOf) {
    if (offset.known() && asOf.isAfter(currentAt)) {
      currentAt = asOf;
    }
  }

  /** Removes retained entries that did not come back in time, and state of runs that are over. */
  public void advance(Instant now) {
    unconfirmedLeaves.removeIf(
        run -> {
          RunnerEntry entry = entries.get(run.id());
          return entry == null || entry.bornMillis() > run.bornMillis();
        });
    recentlyRemoved.values().removeIf(removed -> !now.isBefore(removed.until()));
    if (retained.values().removeIf(entry -> !now.isBefore(entry.until()))) {
      changeCount++;
    }
  }

  // Accessors

  /** Returns the runners that may receive new requests. */
  public List<RunnerEntry> usable() {
    List<RunnerEntry> usable = new ArrayList<>();
    for (RunnerEntry entry : entries.values()) {
      if (!entry.draining()) {
        usable.add(entry);
      }
    }
    retained.values().forEach(entry -> usable.add(entry.entry()));
    return usable;
  }

  /** Returns a runner if it may receive new requests. */
  public Optional<RunnerEntry> usable(String id) {
    RunnerEntry entry = entries.get(id);
    if (entry != null) {
      return entry.draining() ? Optional.empty() : Optional.of(entry);
    }
    return Optional.ofNullable(retained.get(id)).map(RetainedEntry::entry);
  }

  /** Returns the entries of draining runners, which may still serve their running requests. */
  public List<RunnerEntry> leaving() {
    return entries.values().stream().filter(RunnerEntry::draining).toList();
  }

  /** Returns the runs that announced that they are leaving but whose entries are not draining. */
  public List<RunnerRun> unconfirmedLeaves() {
    return List.copyOf(unconfirmedLeaves);
  }

  /** Returns a counter that increases whenever the usable runners may have changed. */
  public long changeCount() {
    return changeCount;
  }

  /** Returns the position after the last known record. */
  public LogPosition offset() {
    return offset;
  }

  /** Returns the position after the last change that is significant to other nodes. */
  public LogPosition significantOffset() {
    return significantOffset;
  }

  /** Returns the time since the directory was last known to be current. */
  public Duration age(Instant now) {
    return currentAt.equals(Instant.MIN) ? UNKNOWN_AGE : Duration.between(currentAt, now);
  }

  /** Returns the complete directory as a change, for a node with an older one. */
  public DirectoryChange snapshot() {
    return new DirectoryChange(
        true, LogPosition.of(offset.era(), 0), offset, List.copyOf(entries.values()), List.of());
  }

  /**
   * A runner that the store removed.
   *
   * @param entry its last entry
   * @param era the store's era in which the removal was seen
   * @param until when copies that still list it are too old to be restored
   */
  private record RemovedRunner(RunnerEntry entry, long era, Instant until) {}

  /**
   * A run whose entries are ignored because the known entry names a later start.
   *
   * @param entry its newest entry
   * @param entries number of its entries since that of the later start
   */
  private record EarlierRun(RunnerEntry entry, int entries) {}

  /**
   * An entry that is missing from the directory while its runner stays in use.
   *
   * @param entry the entry
   * @param until when it is dropped
   */
  private record RetainedEntry(RunnerEntry entry, Instant until) {}
}
