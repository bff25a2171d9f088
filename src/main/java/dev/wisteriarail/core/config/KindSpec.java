package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ServiceId;
import java.time.Duration;
import java.util.List;

/**
 * One kind of request.
 *
 * @param id the kind
 * @param urgency its queue class
 * @param deadline time from arrival within which the answer must have started or the request is
 *     refused
 * @param repeatable whether running it twice does no harm
 * @param models the models that it may go to; empty for every model of the customer
 * @param services the plain services that it may go to; empty for every service
 */
public record KindSpec(
    KindId id,
    Urgency urgency,
    Duration deadline,
    boolean repeatable,
    List<ModelId> models,
    List<ServiceId> services) {

  /** Copies the lists; an absent one is empty. */
  public KindSpec {
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
  }

  /** Describes a kind that may go to every model and service. */
  public KindSpec(KindId id, Urgency urgency, Duration deadline, boolean repeatable) {
    this(id, urgency, deadline, repeatable, List.of(), List.of());
  }

  /** Returns whether requests of this kind may go to a model. */
  public boolean allows(ModelId model) {
    return models.isEmpty() || models.contains(model);
  }

  /** Returns whether requests of this kind may go to a service. */
  public boolean allows(ServiceId service) {
    return services.isEmpty() || services.contains(service);
  }
}
