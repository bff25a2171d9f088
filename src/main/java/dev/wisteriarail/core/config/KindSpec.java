package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ServiceId;
import java.time.Duration;
import java.util.List;

/**
 * Configuration of a kind of request.
 *
 * @param id the kind's identifier
 * @param urgency the urgency class of its requests
 * @param deadline time from the arrival within which the answer must start; otherwise the request
 *     is refused
 * @param repeatable whether a request is safe to run more than once
 * @param models the models that its requests may use; empty for every model of the customer
 * @param services the plain services that its requests may use; empty for every service
 */
public record KindSpec(
    KindId id,
    Urgency urgency,
    Duration deadline,
    boolean repeatable,
    List<ModelId> models,
    List<ServiceId> services) {

  /** Copies the lists; replaces null by an empty list. */
  public KindSpec {
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
  }

  /** Creates a kind whose requests may use every model and service. */
  public KindSpec(KindId id, Urgency urgency, Duration deadline, boolean repeatable) {
    this(id, urgency, deadline, repeatable, List.of(), List.of());
  }

  /** Returns whether requests of this kind may use a model. */
  public boolean allows(ModelId model) {
    return models.isEmpty() || models.contains(model);
  }

  /** Returns whether requests of this kind may use a service. */
  public boolean allows(ServiceId service) {
    return services.isEmpty() || services.contains(service);
  }
}
