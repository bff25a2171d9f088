package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.fleet.PeerStatus;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.TenantFault;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tracks until when this node's configuration is known to have been the newest one, from its own
 * reads of the store and from the heartbeats of peers.
 *
 * <p>A heartbeat states the age of the sender's own confirmation, so ages add up along a chain of
 * peers, and a group of nodes that is cut off from the store cannot confirm itself.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class ConfigurationConfirmation {

  /** Gap between two events that shows that the process was suspended; ticks are 0.1 s apart. */
  private static final Duration SUSPENSION_GAP = Duration.ofSeconds(1);

  /**
   * Time after a suspension for which statements of peers are ignored, since they may have waited
   * in this node's buffers. It is the interval of a peer's heartbeats.
   */
  private static final Duration BUFFERED_TIME = Duration.ofMillis(300);

  /**
   * Age from which on a node that refuses by age reads the configuration itself: above the age in
   * normal operation, which is one waiting read of the relay (1 s) and two of its heartbeats.
   */
  private static final Duration OWN_READ_AGE = Duration.ofMillis(1800);

  /** Limit of the age that a peer can state, in milliseconds. */
  private static final long MAX_AGE = Duration.ofDays(1).toMillis();

  private RevocationRule rule;
  private boolean expired;
  private long version;
  private Instant confirmedAt = Instant.MIN;
  private long statedVersion;
  private Instant statedAt = Instant.MIN;
  private Instant lastEventAt = Instant.MAX;
  private Instant ignoredUntil = Instant.MIN;

  private ConfigurationConfirmation(RevocationRule rule) {
    this.rule = rule;
  }

  /** Creates the state of a node without a configuration. */
  static ConfigurationConfirmation create(RevocationRule rule) {
    return new ConfigurationConfirmation(rule);
  }

  /** Applies a changed rule. */
  void accept(RevocationRule newRule) {
    rule = newRule;
  }

  /** Records that an event is handled, so that a suspension of the process is noticed. */
  void recordEvent(Instant now) {
    if (lastEventAt.isBefore(now) && lastEventAt.plus(SUSPENSION_GAP).isBefore(now)) {
      ignoredUntil = now.plus(BUFFERED_TIME);
    }
    lastEventAt = now;
  }

  /** Records the version that is in force from now on. */
  void recordVersion(long newVersion) {
    version = newVersion;
    if (version >= statedVersion) {
      confirm(statedAt);
    }
  }

  /**
   * Records a successful read of the store.
   *
   * @param at time at which the store had no newer configuration than the one in force
   */
  void recordRead(Instant at) {
    confirm(at);
  }

  /** Records what a peer states about its configuration in a heartbeat. */
  void recordStatement(PeerStatus status, Instant now) {
    if (status.configurationAgeMillis().isEmpty() || now.isBefore(ignoredUntil)) {
      return;
    }
    long newestVersion = status.configurationVersion();
    Instant at = now.minusMillis(Math.clamp(status.configurationAgeMillis().get(), 0, MAX_AGE));
    if (version >= newestVersion) {
      confirm(at);
    } else if (at.isAfter(statedAt)) {
      statedVersion = newestVersion;
      statedAt = at;
    }
  }

  private void confirm(Instant at) {
    if (at.isAfter(confirmedAt)) {
      confirmedAt = at;
    }
  }

  /** Returns the time since the configuration was confirmed; empty if it never was. */
  Optional<Duration> age(Instant now) {
    return confirmedAt.equals(Instant.MIN) || version == 0
        ? Optional.empty()
        : Optional.of(Duration.between(confirmedAt, now));
  }

  /** Returns whether requests that need a key are refused because of the age. */
  boolean isExpired(Instant now) {
    return rule.failClosed() && isOlderThan(rule.bound(), now);
  }

  /** Returns whether this node has to read the configuration itself to stay confirmed. */
  boolean needsOwnRead(Instant now) {
    return rule.failClosed() && isOlderThan(OWN_READ_AGE, now);
  }

  // Events

  /** Logs the configurations in the store that are invalid. */
  void logFaults(StoreAnswer.ConfigurationRead read, GatewayStep step) {
    for (TenantFault fault : read.faults()) {
      step.log(
          EventCode.CONFIGURATION_IGNORED,
          "reason",
          fault.reason(),
          "tenant",
          fault.tenant(),
          "in_force",
          version);
    }
  }

  /** Logs when this node starts or stops to refuse requests that need a key. */
  void logChange(Optional<GatewayConfiguration> configuration, GatewayStep step) {
    boolean refuses =
        configuration.filter(GatewayConfiguration::requiresKeys).isPresent()
            && isExpired(step.now());
    if (refuses != expired) {
      expired = refuses;
      step.log(
          refuses ? EventCode.CONFIGURATION_UNCONFIRMED : EventCode.CONFIGURATION_CONFIRMED,
          "version",
          version,
          "confirmed_ago_ms",
          age(step.now()).map(Duration::toMillis).orElse(-1L));
    }
  }

  private boolean isOlderThan(Duration limit, Instant now) {
    return age(now).map(age -> age.compareTo(limit) > 0).orElse(true);
  }
}
