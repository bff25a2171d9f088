package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that are known not to crash runners, because a request with them got a part of
 * its response. A part crashes each runner that begins to write a response on it, whatever else the
 * request holds, so one response is proof.
 *
 * <p>Bounded: the parts that were confirmed least recently are forgotten first. Not thread-safe.
 */
final class SoundTraits {

  /** Maximum number of remembered traits. */
  private static final int MAX_TRAITS = 16_384;

  /** Time for which a confirmation counts. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  private final Map<RequestTrait, Instant> confirmedAt =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestTrait, Instant> eldest) {
          return size() > MAX_TRAITS;
        }
      };

  private SoundTraits() {}

  static SoundTraits create() {
    return new SoundTraits();
  }

  void confirm(Collection<RequestTrait> traits, Instant now) {
    traits.forEach(trait -> confirmedAt.put(trait, now));
  }

  boolean contains(RequestTrait trait, Instant now) {
    Instant at = confirmedAt.get(trait);
    return at != null && now.isBefore(at.plus(RETENTION));
  }

  /** Returns those of the traits that are not known to be sound. */
  List<RequestTrait> unproven(Collection<RequestTrait> traits, Instant now) {
    return traits.stream().filter(trait -> !contains(trait, now)).toList();
  }
}
