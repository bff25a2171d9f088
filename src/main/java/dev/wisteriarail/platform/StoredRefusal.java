package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.forward.RequestTrait;
import java.time.Instant;
import java.util.List;
import java.util.TreeSet;
import java.util.UUID;
import java.util.stream.Collectors;

/**
 * Form in which the store keeps a refusal of requests that crash runners.
 *
 * @param traits names of the traits, in order
 * @param crashes number of crashes that led to it
 * @param untilMillis when it ends, in Unix milliseconds
 * @param termMillis its length
 */
record StoredRefusal(List<String> traits, int crashes, long untilMillis, long termMillis) {

  static StoredRefusal of(CrashRefusal refusal, Instant now) {
    return new StoredRefusal(
        new TreeSet<>(refusal.traits()).stream().map(RequestTrait::name).toList(),
        refusal.crashes(),
        now.plusMillis(refusal.remainingMillis()).toEpochMilli(),
        refusal.termMillis());
  }

  /** Returns the key of the record. It is short, whatever the number of traits. */
  String key() {
    return UUID.nameUUIDFromBytes(String.join(",", traits).getBytes(UTF_8)).toString();
  }

  /** Returns the refusal as of a time of day. */
  CrashRefusal toRefusal(Instant now) {
    return new CrashRefusal(
        traits.stream().map(RequestTrait::new).collect(Collectors.toUnmodifiableSet()),
        crashes,
        untilMillis - now.toEpochMilli(),
        termMillis);
  }
}
