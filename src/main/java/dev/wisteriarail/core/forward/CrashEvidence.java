package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * The recent crashes of runners, and the traits of the requests that were at each runner when it
 * crashed.
 *
 * <p>One of these requests made the runner crash, unless it crashed for another reason; the others
 * were waiting or running beside it. What all crashes of a trait have in common distinguishes them:
 * a trait is found to crash runners after several crashes, at least one of them on a request that
 * was sent some time after another of these crashes. Runners that crash or lose their connections
 * at the same moment for a reason of their own do not meet this condition, whatever their requests
 * have in common.
 *
 * <p>Bounded in crashes, traits and time. Not thread-safe.
 */
final class CrashEvidence {

  /** Number of crashes after which a trait is found to be the cause. */
  static final int CRASHES_TO_FIND = 3;

  /**
   * The same for a content of one caller that is sound for several others. The cause of crashes at
   * which it was lost by chance is found before.
   */
  static final int CRASHES_TO_FIND_WIDELY_SOUND = CRASHES_TO_FIND + 1;

  /** Time for which a crash is remembered. */
  private static final Duration RETENTION = Duration.ofMinutes(2);

  /**
   * Losses on one run within this time belong to one crash. A runner that starts again takes
   * longer, and may do so before its new start time is known.
   */
  private static final Duration SAME_CRASH = Duration.ofSeconds(2);

  /** A loss that was no crash is mostly refuted within this time. */
  private static final Duration REFUTATION_TIME = Duration.ofSeconds(1);

  /** Bytes of a crashed runner may still be processed for this time after its loss is noticed. */
  private static final Duration ARRIVAL_SLACK = Duration.ofMillis(250);

  /** Maximum number of reports that are repeated to peers. */
  private static final int MAX_REPEATED_REPORTS = 16;

  /** Maximum number of crashes of a trait that are compared with each other. */
  private static final int MAX_COMPARED_CRASHES = 12;

  private static final int MAX_CRASHES = 128;
  private static final int MAX_TRAITS_PER_CRASH = 512;

  private final List<Crash> crashes = new ArrayList<>();
  private final Map<RequestTrait, List<Crash>> crashesByTrait = new HashMap<>();

  private CrashEvidence() {}

  static CrashEvidence create() {
    return new CrashEvidence();
  }

  // Changes

  /**
   * Adds a report of a request that was lost at a runner.
   *
   * @param traits the traits to add
   * @param repeated whether the report may be about any known crash of the run: its age is not
   *     exact, as it may have been delayed
   */
  void add(CrashReport report, List<RequestTrait> traits, boolean repeated, Instant now) {
    expire(now);
    Instant lostAt = now.minusMillis(report.loss().ageMillis());
    Optional<Crash> known =
        repeated ? nearest(report.loss().run(), lostAt) : find(report.loss().run(), lostAt);
    Crash crash =
        known.orElseGet(
            () -> {
              Crash added = new Crash(report.loss().run(), lostAt);
              crashes.add(added);
              return added;
            });
    Instant sentAt = crash.at.minusMillis(report.sentAgeMillis() - report.loss().ageMillis());
    for (RequestTrait trait : traits) {
      if (crash.sentAt.size() >= MAX_TRAITS_PER_CRASH && !crash.sentAt.containsKey(trait)) {
        break;
      }
      if (crash.sentAt.put(trait, sentAt) == null) {
        crashesByTrait.computeIfAbsent(trait, key -> new ArrayList<>()).add(crash);
      }
    }
    crash.addRequest(traits);
    if (crashes.size() > MAX_CRASHES) {
      remove(crashes.getFirst());
    }
  }

  private void expire(Instant now) {
    while (!crashes.isEmpty() && now.isAfter(crashes.getFirst().at.plus(RETENTION))) {
      remove(crashes.getFirst());
    }
  }

  private void remove(Crash crash) {
    crashes.remove(crash);
    crash.sentAt.keySet().forEach(trait -> removeFrom(trait, crash));
  }

  private void removeFrom(RequestTrait trait, Crash crash) {
    List<Crash> known = crashesByTrait.get(trait);
    known.remove(crash);
    if (known.isEmpty()) {
      crashesByTrait.remove(trait);
    }
  }

  /** Removes a trait that is sound. Returns whether there was evidence against it. */
  boolean clear(RequestTrait trait) {
    List<Crash> known = crashesByTrait.remove(trait);
    if (known == null) {
      return false;
    }
    known.forEach(crash -> crash.sentAt.remove(trait));
    return true;
  }

  /**
   * Removes all traits but the cause from the crashes that the cause explains. Those of single
   * callers of a content stay: a complete response to another caller may still show that the
   * content alone is no cause.
   */
  void explain(Set<RequestTrait> cause) {
    for (Crash crash : crashes) {
      if (crash.sentAt.keySet().containsAll(cause)) {
        Set<RequestTrait> others = new HashSet<>(crash.sentAt.keySet());
        others.removeIf(other -> cause.contains(other) || cause.contains(other.content()));
        others.forEach(
            trait -> {
              crash.sentAt.remove(trait);
              removeFrom(trait, crash);
            });
      }
    }
  }

  /**
   * Returns the loss on a run that a sign of life shows to be no crash, if there is one.
   *
   * @param sentAt when the request was sent that the runner goes on with or has answered
   */
  Optional<RunnerLoss> findRefuted(RunnerRun run, Instant sentAt, Instant now) {
    return crashes.stream()
        .filter(crash -> crash.run.equals(run))
        .filter(crash -> sentAt.isBefore(crash.at.plus(SAME_CRASH)))
        .filter(crash -> now.isAfter(crash.at.plus(ARRIVAL_SLACK)))
        .map(crash -> new RunnerLoss(run, Duration.between(crash.at, now).toMillis()))
        .findFirst();
  }

  /**
   * Removes a loss that was no crash.
   *
   * @return the traits that it was evidence against
   */
  Set<RequestTrait> refute(RunnerLoss loss, Instant now) {
    Optional<Crash> refuted = find(loss.run(), now.minusMillis(loss.ageMillis()));
    Set<RequestTrait> traits =
        refuted.map(crash -> Set.copyOf(crash.sentAt.keySet())).orElse(Set.of());
    refuted.ifPresent(this::remove);
    return traits;
  }

  private Optional<Crash> find(RunnerRun run, Instant at) {
    return nearest(run, at)
        .filter(crash -> Duration.between(crash.at, at).abs().compareTo(SAME_CRASH) <= 0);
  }

  /** Returns the crash of a run that is nearest to a time. */
  private Optional<Crash> nearest(RunnerRun run, Instant at) {
    return crashes.stream()
        .filter(crash -> crash.run.equals(run))
        .min(Comparator.comparing(crash -> Duration.between(crash.at, at).abs()));
  }

  // Accessors

  /** Returns the newest evidence, to be repeated to peers that may have missed it. */
  List<CrashReport> reports(Instant now) {
    List<CrashReport> reports = new ArrayList<>();
    for (Crash crash : crashes.reversed()) {
      RunnerLoss loss = new RunnerLoss(crash.run, Duration.between(crash.at, now).toMillis());
      Map<Instant, List<RequestTrait>> traitsBySending = new TreeMap<>();
      crash.sentAt.forEach(
          (trait, at) -> traitsBySending.computeIfAbsent(at, key -> new ArrayList<>()).add(trait));
      traitsBySending.forEach(
          (at, traits) ->
              reports.add(new CrashReport(loss, Duration.between(at, now).toMillis(), traits)));
      if (reports.size() >= MAX_REPEATED_REPORTS) {
        return reports.subList(0, MAX_REPEATED_REPORTS);
      }
    }
    return reports;
  }

  boolean isEmpty() {
    return crashes.isEmpty();
  }

  /** Returns the number of crashes at which a request with a trait was lost. */
  int count(RequestTrait trait) {
    return crashesByTrait.getOrDefault(trait, List.of()).size();
  }

  /**
   * Returns whether a trait is found to crash runners. A content that one caller sent at all of its
   * crashes is not: only that caller's content is.
   *
   * @param required the number of crashes that are required
   */
  boolean isFound(RequestTrait trait, int required) {
    List<Crash> known = crashesByTrait.getOrDefault(trait, List.of());
    return known.size() >= required
        && !hasCommonCaller(trait)
        && independentCrashes(trait, known) >= required
        && known.stream()
            .anyMatch(
                later ->
                    known.stream()
                        .anyMatch(
                            earlier ->
                                later.sentAt.get(trait).isAfter(earlier.at.plus(REFUTATION_TIME))));
  }

  private boolean hasCommonCaller(RequestTrait trait) {
    return trait.isContent()
        && !trait.isCallerContent()
        && traitsInAllCrashes(trait).stream()
            .anyMatch(other -> other.isCallerContent() && other.content().equals(trait));
  }

  /**
   * Returns the number of crashes of a trait, where those that have another trait in common, which
   * the rest lacks, count as one: that trait may be their cause. So two causes at a time do not
   * accuse what their requests share.
   */
  private int independentCrashes(RequestTrait trait, List<Crash> known) {
    Set<RequestTrait> ignored = traitsInAllCrashes(trait);
    ignored.addAll(callersWithFewCrashes(trait, known));
    List<Crash> remaining =
        new ArrayList<>(
            known.subList(Math.max(0, known.size() - MAX_COMPARED_CRASHES), known.size()));
    int count = 0;
    while (!remaining.isEmpty()) {
      List<Crash> group = largestGroup(remaining, ignored);
      remaining.removeAll(group);
      count++;
    }
    return count;
  }

  /** Returns the callers' contents of a content that cannot be the cause of enough crashes. */
  private Set<RequestTrait> callersWithFewCrashes(RequestTrait content, List<Crash> known) {
    return known.stream()
        .flatMap(crash -> crash.sentAt.keySet().stream())
        .filter(other -> other.isCallerContent() && other.content().equals(content))
        .filter(other -> count(other) < CRASHES_TO_FIND)
        .collect(Collectors.toSet());
  }

  /** Returns the crashes with the trait, other than the given ones, that most crashes have. */
  private static List<Crash> largestGroup(List<Crash> crashes, Set<RequestTrait> except) {
    Map<RequestTrait, List<Crash>> groups = new LinkedHashMap<>();
    List<Crash> largest = List.of(crashes.getFirst());
    for (Crash crash : crashes) {
      for (RequestTrait trait : crash.sentAt.keySet()) {
        if (!except.contains(trait)) {
          List<Crash> group = groups.computeIfAbsent(trait, key -> new ArrayList<>());
          group.add(crash);
          largest = group.size() > largest.size() ? group : largest;
        }
      }
    }
    return largest;
  }

  /** Returns the contents of the requests that were lost at a crash. */
  List<RequestTrait> contentsAt(RunnerLoss loss, Instant now) {
    return find(loss.run(), now.minusMillis(loss.ageMillis())).stream()
        .flatMap(crash -> crash.sentAt.keySet().stream())
        .filter(RequestTrait::isContent)
        .toList();
  }

  /**
   * Returns the traits that requests with a trait had at all of its crashes. They cannot be
   * distinguished from it; only a request with all of them is known to crash runners. No request
   * has the contents of two requests, so those of several are left out.
   */
  Set<RequestTrait> commonTraits(RequestTrait trait) {
    Set<RequestTrait> common = traitsInAllCrashes(trait);
    for (Crash crash : crashesByTrait.getOrDefault(trait, List.of())) {
      common.retainAll(crash.companions(trait));
    }
    removeSeveral(common, RequestTrait::isCallerContent, trait);
    removeSeveral(common, other -> other.isContent() && !other.isCallerContent(), trait);
    return common;
  }

  /** Removes the traits of a kind if there are several, except for the given one. */
  private static void removeSeveral(
      Set<RequestTrait> traits, Predicate<RequestTrait> kind, RequestTrait kept) {
    if (traits.stream().filter(kind).count() > 1) {
      traits.removeIf(kind.and(other -> !other.equals(kept)));
    }
  }

  private Set<RequestTrait> traitsInAllCrashes(RequestTrait trait) {
    Set<RequestTrait> common = null;
    for (Crash crash : crashesByTrait.getOrDefault(trait, List.of())) {
      if (common == null) {
        common = new TreeSet<>(crash.sentAt.keySet());
      } else {
        common.retainAll(crash.sentAt.keySet());
      }
    }
    return common == null ? new TreeSet<>(Set.of(trait)) : common;
  }

  /**
   * A crash, and for each trait when the last request with it was sent to the runner. Some of the
   * requests are kept, so that traits of one request are told apart from those of several.
   */
  private static final class Crash {

    private final RunnerRun run;
    private final Instant at;
    private final Map<RequestTrait, Instant> sentAt = new LinkedHashMap<>();
    private final List<List<RequestTrait>> requests = new ArrayList<>();
    private int requestTraitCount;

    Crash(RunnerRun run, Instant at) {
      this.run = run;
      this.at = at;
    }

    void addRequest(List<RequestTrait> traits) {
      if (requestTraitCount + traits.size() <= MAX_TRAITS_PER_CRASH) {
        requestTraitCount += traits.size();
        requests.add(traits);
      }
    }

    /** Returns the traits of the requests with a trait; all traits if no such request is kept. */
    Set<RequestTrait> companions(RequestTrait trait) {
      Set<RequestTrait> companions = new HashSet<>();
      requests.stream().filter(traits -> traits.contains(trait)).forEach(companions::addAll);
      return companions.isEmpty() ? sentAt.keySet() : companions;
    }
  }
}
