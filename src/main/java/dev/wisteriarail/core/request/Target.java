package dev.wisteriarail.core.request;

import dev.wisteriarail.core.id.AdapterId;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.ServiceId;
import java.util.Optional;

/** The model or service that a request addresses. */
public sealed interface Target {

  /**
   * A model, optionally with an adapter.
   *
   * @param model the model
   * @param adapter the adapter; empty for the base model
   */
  record ModelTarget(ModelId model, Optional<AdapterId> adapter) implements Target {}

  /**
   * A plain service.
   *
   * @param service the service
   * @param method the HTTP method
   * @param path path and query below the service, starting with a slash
   */
  record ServiceTarget(ServiceId service, String method, String path) implements Target {}
}
