package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * Loads of models that a holder of the lease on orders has begun.
 *
 * @param underWay those that are not known to be done
 * @param storeLoadAgesMillis time since each recent load from the weight store began, the oldest
 *     first
 */
public record LoadHistory(List<Loading> underWay, List<Long> storeLoadAgesMillis) {

  /** No loads. */
  public static final LoadHistory NONE = new LoadHistory(List.of(), List.of());

  /** Copies the lists. */
  public LoadHistory {
    underWay = List.copyOf(underWay);
    storeLoadAgesMillis = List.copyOf(storeLoadAgesMillis);
  }

  /**
   * A load that is under way.
   *
   * @param runner the runner
   * @param model the model
   * @param source where its weights come from
   * @param leftMillis time until it should be done
   */
  public record Loading(String runner, String model, LoadSource source, long leftMillis) {}
}
