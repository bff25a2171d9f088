package dev.wisteriarail.core.request;

import java.util.Comparator;

/**
 * The key by which requests are queued: a model with all its adapters, or a plain service.
 *
 * @param service whether it is a plain service
 * @param name the name of the model or service
 */
record TargetKey(boolean service, String name) implements Comparable<TargetKey> {

  private static final Comparator<TargetKey> ORDER =
      Comparator.comparing(TargetKey::service).thenComparing(TargetKey::name);

  static TargetKey of(Target target) {
    return switch (target) {
      case Target.ModelTarget model -> new TargetKey(false, model.model().value());
      case Target.ServiceTarget service -> new TargetKey(true, service.service().value());
    };
  }

  @Override
  public int compareTo(TargetKey other) {
    return ORDER.compare(this, other);
  }
}
