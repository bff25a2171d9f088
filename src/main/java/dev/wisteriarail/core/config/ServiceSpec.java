package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.util.List;

/**
 * Configuration of a plain service.
 *
 * @param id the service's identifier
 * @param runners the application runners that serve it
 * @param deduplicates whether its backend servers deduplicate requests by idempotency key
 */
public record ServiceSpec(ServiceId id, List<RunnerId> runners, boolean deduplicates) {

  /** Copies the list. */
  public ServiceSpec {
    runners = List.copyOf(runners);
  }
}
