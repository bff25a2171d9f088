package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.id.ServiceId;
import java.util.List;

/**
 * One plain service.
 *
 * @param id the service
 * @param runners the application runners that serve it
 * @param deduplicates whether its backend servers run a repeated idempotency key only once
 */
public record ServiceSpec(ServiceId id, List<RunnerId> runners, boolean deduplicates) {

  /** Copies the list. */
  public ServiceSpec {
    runners = List.copyOf(runners);
  }
}
