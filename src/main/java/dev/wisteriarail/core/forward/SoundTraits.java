package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Contents of requests and parts of prompts that are known not to crash runners, because a request
 * with them got a complete response. A trait that crashes runners does so at each runner that
 * begins to run it, whatever else the request holds, so one complete response is proof.
 *
 * <p>It proves nothing about the same content of another caller, for which a runner may do
 * something else. Once several callers have got complete responses to a content, it is likely to be
 * sound for the others.
 *
 * <p>Bounded: what was confirmed least recently is forgotten first. Contents do not displace parts,
 * of which there are fewer. Not thread-safe.
 */
final class SoundTraits {

  /** Maximum number of remembered contents, and of remembered parts. */
  private static final int MAX_TRAITS = 16_384;

  /** Number of callers whose complete responses make a content likely to be sound for others. */
  private static final int WIDELY_SOUND_CALLERS = 3;

  /** Time for which a confirmation counts. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  private final Map<RequestTrait, Instant> contentsConfirmedAt = createBoundedMap();
  private final Map<RequestTrait, Instant> callerContentsConfirmedAt = createBoundedMap();
  private final Map<RequestTrait, Instant> partsConfirmedAt = createBoundedMap();

  /** The last callers' contents that were confirmed, by their content. */
  private final Map<RequestTrait, Set<RequestTrait>> callersByContent = createBoundedMap();

  private SoundTraits() {}

  static SoundTraits create() {
    return new SoundTraits();
  }

  private static <V> Map<RequestTrait, V> createBoundedMap() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<RequestTrait, V> eldest) {
        return size() > MAX_TRAITS;
      }
    };
  }

  private Map<RequestTrait, Instant> confirmedAt(RequestTrait trait) {
    if (trait.isCallerContent()) {
      return callerContentsConfirmedAt;
    }
    return trait.isContent() ? contentsConfirmedAt : partsConfirmedAt;
  }

  void confirm(Collection<RequestTrait> traits, Instant now) {
    traits.forEach(trait -> confirm(trait, now));
  }

  private void confirm(RequestTrait trait, Instant now) {
    confirmedAt(trait).put(trait, now);
    if (trait.isCallerContent()) {
      Set<RequestTrait> callers =
          callersByContent.computeIfAbsent(trait.content(), key -> new LinkedHashSet<>());
      callers.add(trait);
      if (callers.size() > WIDELY_SOUND_CALLERS) {
        callers.remove(callers.iterator().next());
      }
    }
  }

  boolean contains(RequestTrait trait, Instant now) {
    Instant at = confirmedAt(trait).get(trait);
    return at != null && now.isBefore(at.plus(RETENTION));
  }

  /** Returns the callers' contents that show a content to be sound, up to a small number. */
  List<RequestTrait> callersOf(RequestTrait content, Instant now) {
    return callersByContent.getOrDefault(content, Set.of()).stream()
        .filter(caller -> contains(caller, now))
        .toList();
  }

  /** Returns whether the content of a trait is sound for several callers. */
  boolean isWidelySound(RequestTrait trait, Instant now) {
    return callersOf(trait.content(), now).size() >= WIDELY_SOUND_CALLERS;
  }

  /** Returns those of the traits that are not known to be sound. */
  List<RequestTrait> unproven(Collection<RequestTrait> traits, Instant now) {
    return traits.stream().filter(trait -> !contains(trait, now)).toList();
  }
}
