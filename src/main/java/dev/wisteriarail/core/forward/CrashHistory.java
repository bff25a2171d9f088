package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerRun;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Finds out which requests crash runners: by their whole content, or by one part of their prompt.
 *
 * <p>Such a request crashes each runner that begins to run it, at any point of its response. A
 * request is evidence against its traits if its connection was lost before the response was
 * complete; it clears them if a complete response arrived. From the first crash on, a trait that
 * nothing has cleared is suspected, and the caller of this class sends requests with it one at a
 * time. Requests with a trait that is found to crash runners are refused.
 *
 * <p>The load pattern: one request that is sent again and again, or many different requests with
 * one part in common, beside sound requests that share all other parts with them.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
public final class CrashHistory {

  private final SoundTraits sound = SoundTraits.create();
  private final CrashEvidence evidence = CrashEvidence.create();
  private final CrashRefusals refusals = CrashRefusals.create();

  private CrashHistory() {}

  /** Creates an empty history. */
  public static CrashHistory create() {
    return new CrashHistory();
  }

  // Evidence

  /**
   * Adds a request that was lost at a runner, at this node or a peer.
   *
   * @return the refusals that the crash adds
   */
  public List<CrashRefusal> recordCrash(CrashReport report, Instant now) {
    return record(report, false, now);
  }

  /**
   * Adds a report that a peer repeats, for nodes that missed it.
   *
   * @return the refusals that it adds
   */
  public List<CrashRefusal> recordRepeated(CrashReport report, Instant now) {
    return record(report, true, now);
  }

  private List<CrashRefusal> record(CrashReport report, boolean repeated, Instant now) {
    List<RequestTrait> suspects = unproven(report.traits(), now);
    evidence.add(report, suspects, repeated, now);
    List<CrashRefusal> added = new ArrayList<>();
    refusals
        .findEnded(report.traits(), now)
        .filter(traits -> !repeated)
        .ifPresent(traits -> refuse(traits, CrashEvidence.CRASHES_TO_FIND + 1, now, added));
    for (RequestTrait trait : suspects) {
      if (isNewlyFound(trait, repeated, now) && !isRefused(report.traits(), now)) {
        refuse(evidence.commonTraits(trait), evidence.count(trait), now, added);
      }
    }
    // Contents that were lost at the same crashes cannot be distinguished: all of them are refused,
    // and the trial after the first term clears those that are sound.
    for (RequestTrait content : evidence.contentsAt(report.loss(), now)) {
      if (isNewlyFound(content, repeated, now)) {
        Set<RequestTrait> common = evidence.commonTraits(content);
        if (!isRefused(common, now)) {
          refuse(common, evidence.count(content), now, added);
        }
      }
    }
    refusals.inForce(now).forEach(refusal -> evidence.explain(refusal.traits()));
    return added;
  }

  /**
   * Returns whether a trait is found to crash runners. A refusal that is over is not renewed by the
   * reports that led to it.
   */
  private boolean isNewlyFound(RequestTrait trait, boolean repeated, Instant now) {
    return evidence.isFound(trait, requiredCrashes(Set.of(trait), now))
        && !(repeated && refusals.contains(trait));
  }

  /** Returns the number of crashes after which requests with all of the traits are refused. */
  private int requiredCrashes(Set<RequestTrait> traits, Instant now) {
    return traits.stream()
            .anyMatch(trait -> trait.isCallerContent() && sound.isWidelySound(trait, now))
        ? CrashEvidence.CRASHES_TO_FIND_WIDELY_SOUND
        : CrashEvidence.CRASHES_TO_FIND;
  }

  private boolean isRefused(Collection<RequestTrait> request, Instant now) {
    return refusals.find(request, Duration.ZERO, now).isPresent();
  }

  private void refuse(
      Set<RequestTrait> traits, int crashes, Instant now, List<CrashRefusal> added) {
    if (refusals.add(traits, crashes, now)) {
      refusals.find(traits, Duration.ZERO, now).ifPresent(added::add);
    }
  }

  /**
   * Records that a complete response to a request with the given traits arrived.
   *
   * @return the traits that were suspected and are cleared now
   */
  public List<RequestTrait> recordSound(Collection<RequestTrait> traits, Instant now) {
    sound.confirm(traits, now);
    if (evidence.isEmpty() && refusals.isEmpty()) {
      return List.of();
    }
    return traits.stream().filter(this::clear).toList();
  }

  private boolean clear(RequestTrait trait) {
    boolean suspected = evidence.clear(trait);
    return refusals.clear(trait) || suspected;
  }

  /**
   * Records a sign of life of a run, which refutes a loss on it that was taken for a crash.
   *
   * @param sentAt when the request was sent that the runner goes on with or has answered
   * @return what is refuted, if there is a loss
   */
  public Optional<CrashRefutation> recordSignOfLife(RunnerRun run, Instant sentAt, Instant now) {
    return evidence.isEmpty()
        ? Optional.empty()
        : evidence.findRefuted(run, sentAt, now).map(loss -> acceptRefutation(loss, now));
  }

  /**
   * Removes a loss that was no crash, as this node or a peer found, and withdraws the refusals that
   * have too few crashes left.
   */
  public CrashRefutation acceptRefutation(RunnerLoss loss, Instant now) {
    Set<RequestTrait> traits = evidence.refute(loss, now);
    return new CrashRefutation(
        loss, refusals.removeCrash(traits, refused -> requiredCrashes(refused, now), now));
  }

  /**
   * Applies a refusal of a peer or of the store, without the traits that are known to be sound. One
   * that this node would not decide after so few crashes is ignored.
   *
   * @return whether it is new
   */
  public boolean acceptRefusal(CrashRefusal refusal, Instant now) {
    List<RequestTrait> traits = unproven(refusal.traits(), now);
    if (traits.isEmpty()
        || refusal.crashes() < requiredCrashes(Set.copyOf(traits), now)
        || !refusals.merge(refusal, Set.copyOf(traits), now)) {
      return false;
    }
    evidence.explain(Set.copyOf(traits));
    return true;
  }

  /** Drops what has expired. */
  public void advance(Instant now) {
    refusals.advance(now);
  }

  // Accessors

  /** Returns those of the traits that are not known to be sound. */
  public List<RequestTrait> unproven(Collection<RequestTrait> traits, Instant now) {
    return sound.unproven(traits, now);
  }

  /**
   * Returns what this node knows in favour of the traits: those that are sound, and the contents of
   * other callers that make one likely to be sound.
   */
  public List<RequestTrait> proof(Collection<RequestTrait> traits, Instant now) {
    Set<RequestTrait> proof = new LinkedHashSet<>();
    for (RequestTrait trait : traits) {
      if (sound.contains(trait, now)) {
        proof.add(trait);
      } else if (trait.isCallerContent()) {
        proof.addAll(sound.callersOf(trait.content(), now));
      }
    }
    return List.copyOf(proof);
  }

  /**
   * Returns the refusal of a request with the given traits, if it is refused.
   *
   * @param extension time after the term for which other nodes may try such a request first
   */
  public Optional<CrashRefusal> refusal(
      Collection<RequestTrait> traits, Duration extension, Instant now) {
    return refusals.find(traits, extension, now);
  }

  /** Returns those of the traits that are suspected to crash runners. */
  public List<RequestTrait> suspects(Collection<RequestTrait> traits) {
    if (evidence.isEmpty() && refusals.isEmpty()) {
      return List.of();
    }
    return traits.stream()
        .filter(trait -> evidence.count(trait) > 0 || refusals.contains(trait))
        .toList();
  }

  /** Returns the number of crashes at which a request with a trait was lost. */
  public int count(RequestTrait trait) {
    return evidence.count(trait);
  }

  /** Returns the newest evidence, to be repeated to peers that may have missed it. */
  public List<CrashReport> reports(Instant now) {
    return evidence.reports(now);
  }

  /** Returns whether there are refusals, in force or over. */
  public boolean hasRefusals() {
    return !refusals.isEmpty();
  }

  /** Returns the refusals that are in force, and those that are over and still remembered. */
  public List<CrashRefusal> refusals(Instant now) {
    return refusals.all(now);
  }
}
