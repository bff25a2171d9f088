package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.Durations;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * The combinations of traits whose requests are refused because they crash runners.
 *
 * <p>A refusal ends after its term. Its requests are then tried one at a time, first by one node. A
 * complete response ends the accusation, and a single crash refuses them again for a longer term.
 * The first term is short, as an accusation can be wrong: the requests beside the culprit are lost
 * with it. Bounded: the refusal that ends first is dropped first. Not thread-safe.
 */
final class CrashRefusals {

  /** Length of the first refusal. */
  private static final Duration FIRST_TERM = Duration.ofSeconds(8);

  /** Growth of the term with each failed trial, so that few trials crash runners. */
  private static final int TERM_GROWTH = 8;

  /** Minimum time for which a refusal that is over is remembered. */
  private static final Duration MIN_RETENTION = Duration.ofMinutes(10);

  /** Maximum length of a refusal. */
  private static final Duration MAX_TERM = Duration.ofHours(2);

  private static final int MAX_REFUSALS = 64;

  private final List<Entry> entries = new ArrayList<>();

  private CrashRefusals() {}

  static CrashRefusals create() {
    return new CrashRefusals();
  }

  // Changes

  /**
   * Refuses requests with all of the given traits.
   *
   * @return whether that is new
   */
  boolean add(Set<RequestTrait> traits, int crashes, Instant now) {
    Duration term = FIRST_TERM;
    for (Entry entry : entries) {
      if (entry.traits.equals(traits)) {
        if (now.isBefore(entry.until)) {
          entry.crashes = Math.max(entry.crashes, crashes);
          return false;
        }
        term = Durations.min(entry.term.multipliedBy(TERM_GROWTH), MAX_TERM);
      }
    }
    put(new Entry(traits, crashes, now.plus(term), term));
    return true;
  }

  /**
   * Applies a refusal of a peer or of the store.
   *
   * @return whether it is new
   */
  boolean merge(CrashRefusal refusal, Set<RequestTrait> traits, Instant now) {
    Duration term = Durations.min(Duration.ofMillis(refusal.termMillis()), MAX_TERM);
    Duration remaining = Durations.min(Duration.ofMillis(refusal.remainingMillis()), term);
    Instant until = now.plus(remaining);
    if (entries.stream().anyMatch(entry -> entry.covers(traits, until))) {
      return false;
    }
    for (Entry entry : entries) {
      if (entry.traits.equals(traits)) {
        boolean wasOver = !now.isBefore(entry.until);
        if (until.isAfter(entry.until)) {
          entry.until = until;
          entry.term = term;
          entry.crashes = Math.max(entry.crashes, refusal.crashes());
        }
        return wasOver && now.isBefore(entry.until);
      }
    }
    put(new Entry(traits, refusal.crashes(), until, term));
    return now.isBefore(until);
  }

  private void put(Entry added) {
    // A refusal of fewer traits refuses all that one of more traits refuses.
    entries.removeIf(entry -> entry.traits.containsAll(added.traits));
    entries.add(added);
    if (entries.size() > MAX_REFUSALS) {
      entries.stream()
          .min((one, other) -> one.until.compareTo(other.until))
          .ifPresent(entries::remove);
    }
  }

  /** Removes a trait that is sound from all refusals. Returns whether there was one with it. */
  boolean clear(RequestTrait trait) {
    boolean changed = false;
    for (Entry entry : entries) {
      changed |= entry.traits.remove(trait);
    }
    entries.removeIf(entry -> entry.traits.isEmpty());
    return changed;
  }

  /**
   * Removes a loss that was no crash from the crashes that led to refusals, and the refusals that
   * have too few crashes left.
   *
   * @param lost the traits that the loss was evidence against
   * @param required returns the number of crashes that a refusal of traits requires
   * @return the traits of each refusal in force that is removed
   */
  List<Set<RequestTrait>> removeCrash(
      Set<RequestTrait> lost, ToIntFunction<Set<RequestTrait>> required, Instant now) {
    List<Set<RequestTrait>> removed = new ArrayList<>();
    for (Entry entry : List.copyOf(entries)) {
      if (now.isBefore(entry.until)
          && lost.containsAll(entry.traits)
          && --entry.crashes < required.applyAsInt(entry.traits)) {
        entries.remove(entry);
        removed.add(Set.copyOf(entry.traits));
      }
    }
    return removed;
  }

  /** Removes refusals that have been over for as long as they lasted, at least for some minutes. */
  void advance(Instant now) {
    entries.removeIf(
        entry -> now.isAfter(entry.until.plus(Durations.max(entry.term, MIN_RETENTION))));
  }

  // Accessors

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns the refusal of requests with the given traits that is in force.
   *
   * @param extension time after the term for which it stays in force, for a trial by another node
   */
  Optional<CrashRefusal> find(Collection<RequestTrait> traits, Duration extension, Instant now) {
    Instant asOf = now.minus(extension);
    for (Entry entry : entries) {
      if (asOf.isBefore(entry.until) && traits.containsAll(entry.traits)) {
        return Optional.of(entry.toRefusal(asOf));
      }
    }
    return Optional.empty();
  }

  /** Returns the traits of a refusal that is over, if a request has all of them. */
  Optional<Set<RequestTrait>> findEnded(Collection<RequestTrait> traits, Instant now) {
    return entries.stream()
        .filter(entry -> !now.isBefore(entry.until) && traits.containsAll(entry.traits))
        .map(entry -> Set.copyOf(entry.traits))
        .findFirst();
  }

  /** Returns whether a trait is part of a refusal, in force or over. */
  boolean contains(RequestTrait trait) {
    return entries.stream().anyMatch(entry -> entry.traits.contains(trait));
  }

  /** Returns the refusals that are in force. */
  List<CrashRefusal> inForce(Instant now) {
    return entries.stream()
        .filter(entry -> now.isBefore(entry.until))
        .map(entry -> entry.toRefusal(now))
        .toList();
  }

  /** Returns the refusals in force, and those that are over and still remembered. */
  List<CrashRefusal> all(Instant now) {
    return entries.stream().map(entry -> entry.toRefusal(now)).toList();
  }

  /** A combination of traits and the time until which its requests are refused. */
  private static final class Entry {

    private final Set<RequestTrait> traits;
    private int crashes;
    private Instant until;
    private Duration term;

    Entry(Set<RequestTrait> traits, int crashes, Instant until, Duration term) {
      this.traits = new TreeSet<>(traits);
      this.crashes = crashes;
      this.until = until;
      this.term = term;
    }

    /** Returns whether this refuses requests with the given traits, and for as long. */
    boolean covers(Set<RequestTrait> others, Instant othersUntil) {
      return others.containsAll(traits) && !until.isBefore(othersUntil);
    }

    CrashRefusal toRefusal(Instant now) {
      return new CrashRefusal(
          traits, crashes, Duration.between(now, until).toMillis(), term.toMillis());
    }
  }
}
