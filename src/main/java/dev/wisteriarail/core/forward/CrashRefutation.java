package dev.wisteriarail.core.forward;

import java.util.List;
import java.util.Set;

/**
 * The finding that a loss was no crash, and what follows from it.
 *
 * @param loss the loss that was taken for a crash
 * @param withdrawn the traits of each refusal that has too few crashes left
 */
public record CrashRefutation(RunnerLoss loss, List<Set<RequestTrait>> withdrawn) {

  /** Copies the list. */
  public CrashRefutation {
    withdrawn = List.copyOf(withdrawn);
  }
}
