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
import java.util.Optional;
import java.util.Set;

/**
 * The runners that may get requests, by what they wrote into the platform's directory.
 *
 * <p>Knowledge only grows: a change is taken if it covers records that were not known, an entry of
 * an earlier run never replaces that of a later one, and a run that drains never comes back. A run
 * that says in its answers that it leaves counts as draining, whatever its entry still says.
 *
 * <p>The first whole directory of a new era of the store comes from a copy that is some seconds
 * old, and what runners wrote since is written again. So an entry of the copy undoes nothing that
 * was known to be later, and a runner that the copy lacks stays in use until the store would have
 * taken a silent one out.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class RunnerDirectory {

  /**
   * How long the entries of many runners that vanish at once stay in use. The platform's store may
   * drop entries of live runners in an outage and has them back within two seconds; runners that
   * did leave must be out within two seconds too.
   */
  private static final Duration MASS_REMOVAL_GRACE = Duration.ofMillis(1500);

  /** Entries of a service that vanish at once before a lapse is suspected: this or more. */
  private static final int MASS_REMOVAL_COUNT = 3;

  /** Time after which the store takes out a runner that wrote nothing: three of its heartbeats. */
  private static final Duration REREGISTRATION_GRACE = Duration.ofSeconds(4);

  /** Age of the copies from which the store may come back. */
  private static final Duration MAX_COPY_AGE = Duration.ofMinutes(1);

  /** Stands for the age of a directory that was never known to be current. */
  private static final Duration UNKNOWN_AGE = Duration.ofDays(1);

  private final Map<String, RunnerEntry> entries = new LinkedHashMap<>();
  private final Map<String, RetainedEntry> retained = new LinkedHashMap<>();
  private final Map<String, RemovedRunner> recentlyRemoved = new LinkedHashMap<>();
  private final Map<String, Long> leavingRuns = new LinkedHashMap<>();
  private final Set<RunnerRun> unconfirmedLeaves = new LinkedHashSet<>();
  private LogPosition offset = LogPosition.NONE;
  private LogPosition significantOffset = LogPosition.NONE;
  private long changeCount;
  private Instant currentAt = Instant.MIN;

  private RunnerDirectory() {}

  /** Returns a directory that knows nothing. */
  public static RunnerDirectory create() {
    return new RunnerDirectory();
  }

  // Changes

  /**
   * Takes a change.
   *
   * @param change the change
   * @param asOf a time at which the store had nothing later; {@link Instant#MIN} if none is known
   * @param now the time
   * @return what became different, for the log; empty if the change was known already or leaves a
   *     gap after what is known
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
   * Returns what a change means for a node that was told every change that mattered: entries that
   * say what was known are left out, and the change reaches back to the last one that mattered.
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
   * Takes what a run of a runner said of itself to this node or to a peer: that it leaves.
   *
   * @return what became different, for the log; empty if it was known
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
   * Returns whether something later is known than an entry of a copy: a later word of the run, or
   * that the store took it out, in an earlier era, after a word no older than this one.
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
    if (known != null && entry.bornMillis() != 0 && entry.bornMillis() < known.bornMillis()) {
      return Optional.empty();
    }
    RunnerEntry newest = withLeaving(entry);
    if (newest.draining()) {
      leavingRuns.put(entry.id(), entry.bornMillis());
    }
    if (entry.draining()) {
      unconfirmedLeaves.remove(RunnerRun.of(entry));
    }
    entries.put(entry.id(), newest);
    retained.remove(entry.id());
    recentlyRemoved.remove(entry.id());
    if (known == null || known.bornMillis() != newest.bornMillis()) {
      return Optional.of(new RunnerTransition(newest, RunnerTransition.Kind.JOINED));
    }
    if (!known.draining() && newest.draining()) {
      return Optional.of(new RunnerTransition(newest, RunnerTransition.Kind.DRAINING));
    }
    return Optional.empty();
  }

  /** Returns an entry as it counts here: a run that left never comes back. */
  private RunnerEntry withLeaving(RunnerEntry entry) {
    boolean left = leavingRuns.getOrDefault(entry.id(), -1L) == entry.bornMillis();
    return left && !entry.draining() ? entry.asDraining() : entry;
  }

  /** Takes entries out; what a copy lacks is not gone by that alone. */
  private void remove(
      Set<String> ids, boolean restored, Instant now, List<RunnerTransition> transitions) {
    boolean mass = ids.stream().filter(entries::containsKey).count() >= MASS_REMOVAL_COUNT;
    for (String id : ids) {
      RunnerEntry entry = entries.remove(id);
      if (entry == null) {
        continue;
      }
      if (restored) {
        retain(entry, now.plus(REREGISTRATION_GRACE));
        continue;
      }
      if (mass) {
        retain(entry, now.plus(MASS_REMOVAL_GRACE));
      }
      recentlyRemoved.put(id, new RemovedRunner(entry, offset.era(), now.plus(MAX_COPY_AGE)));
      transitions.add(new RunnerTransition(entry, RunnerTransition.Kind.REMOVED));
    }
  }

  /** Keeps a runner without an entry in use for a while, unless it leaves. */
  private void retain(RunnerEntry entry, Instant until) {
    if (!entry.draining()) {
      retained.put(entry.id(), new RetainedEntry(entry, until));
    }
  }

  /** Notes that nothing that is not known here had changed by a time. */
  public void confirm(Instant asOf) {
    if (offset.known() && asOf.isAfter(currentAt)) {
      currentAt = asOf;
    }
  }

  /** Forgets entries that stayed away after a lapse, and what runs said that are over. */
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

  /** Returns the runners that may get new requests. */
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

  /** Returns a runner that may get new requests. */
  public Optional<RunnerEntry> usable(String id) {
    RunnerEntry entry = entries.get(id);
    if (entry != null) {
      return entry.draining() ? Optional.empty() : Optional.of(entry);
    }
    return Optional.ofNullable(retained.get(id)).map(RetainedEntry::entry);
  }

  /** Returns the entries of runners that leave and may still serve what they have. */
  public List<RunnerEntry> leaving() {
    return entries.values().stream().filter(RunnerEntry::draining).toList();
  }

  /** Returns the runs that said that they leave and whose entries do not say so yet. */
  public List<RunnerRun> unconfirmedLeaves() {
    return List.copyOf(unconfirmedLeaves);
  }

  /** Returns a number that grows whenever the runners that may get requests may have changed. */
  public long changeCount() {
    return changeCount;
  }

  /** Returns the place after the last known record. */
  public LogPosition offset() {
    return offset;
  }

  /** Returns the place after the last change that other nodes have to know. */
  public LogPosition significantOffset() {
    return significantOffset;
  }

  /** Returns how long ago the directory was last known to be current. */
  public Duration age(Instant now) {
    return currentAt.equals(Instant.MIN) ? UNKNOWN_AGE : Duration.between(currentAt, now);
  }

  /** Returns the whole directory as a change for a node that knows less. */
  public DirectoryChange snapshot() {
    return new DirectoryChange(
        true, LogPosition.of(offset.era(), 0), offset, List.copyOf(entries.values()), List.of());
  }

  /**
   * A runner that the store took out.
   *
   * @param entry its last entry
   * @param era the store's era in which that was learnt
   * @param until when no copy can be so old as to list it again
   */
  private record RemovedRunner(RunnerEntry entry, long era, Instant until) {}

  /**
   * An entry that is not in the directory, of a runner that is still used.
   *
   * @param entry the entry
   * @param until when it is given up
   */
  private record RetainedEntry(RunnerEntry entry, Instant until) {}
}
