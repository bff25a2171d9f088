package dev.wisteriarail.core.forward;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Contents of requests and parts of prompts that are known not to crash runners, because a request
 * with them got a complete response. A content or part that crashes runners does so at each runner
 * that begins to run it, whatever else the request holds, so one complete response is proof.
 *
 * <p>Bounded: what was confirmed least recently is forgotten first. Contents do not displace parts,
 * of which there are fewer. Not thread-safe.
 */
final class SoundTraits {

  /** Maximum number of remembered contents, and of remembered parts. */
  private static final int MAX_TRAITS = 16_384;

  /** Time for which a confirmation counts. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  private final Map<RequestTrait, Instant> contentsConfirmedAt = createBoundedMap();
  private final Map<RequestTrait, Instant> partsConfirmedAt = createBoundedMap();

  private SoundTraits() {}

  static SoundTraits create() {
    return new SoundTraits();
  }

  private static Map<RequestTrait, Instant> createBoundedMap() {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<RequestTrait, Instant> eldest) {
        return size() > MAX_TRAITS;
      }
    };
  }

  private Map<RequestTrait, Instant> confirmedAt(RequestTrait trait) {
    return trait.isContent() ? contentsConfirmedAt : partsConfirmedAt;
  }

  void confirm(Collection<RequestTrait> traits, Instant now) {
    traits.forEach(trait -> confirmedAt(trait).put(trait, now));
  }

  boolean contains(RequestTrait trait, Instant now) {
    Instant at = confirmedAt(trait).get(trait);
    return at != null && now.isBefore(at.plus(RETENTION));
  }

  /** Returns those of the traits that are not known to be sound. */
  List<RequestTrait> unproven(Collection<RequestTrait> traits, Instant now) {
    return traits.stream().filter(trait -> !contains(trait, now)).toList();
  }
}
