package dev.wisteriarail.core.fleet;

import java.util.List;

/**
 * Model loads that a holder of the order lease has started.
 *
 * @param underWay loads that are not known to be complete
 * @param storeLoadAgesMillis time since the start of each recent load from the weight store, the
 *     oldest first
 */
public record LoadHistory(List<Loading> underWay, List<Long> storeLoadAgesMillis) {

  /** An empty history. */
  public static final LoadHistory NONE = new LoadHistory(List.of(), List.of());

  /** Copies the lists. */
  public LoadHistory {
    underWay = List.copyOf(underWay);
    storeLoadAgesMillis = List.copyOf(storeLoadAgesMillis);
  }

  /**
   * A load in progress.
   *
   * @param runner the runner
   * @param model the model
   * @param source the source of the weights
   * @param leftMillis time until it should be complete
   */
  public record Loading(String runner, String model, LoadSource source, long leftMillis) {}
}
