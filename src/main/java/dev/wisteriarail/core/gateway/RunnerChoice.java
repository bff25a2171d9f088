package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.forward.EvenChoice;

/**
 * The reasons for the choice of a runner.
 *
 * @param basis what it was based on
 * @param estimate number of requests that the runner was expected to have
 * @param candidates number of runners that could take the request
 * @param ageMillis time since the last views arrived, in milliseconds
 */
record RunnerChoice(EvenChoice.Basis basis, int estimate, int candidates, long ageMillis) {

  /** No runner has been chosen. */
  static final RunnerChoice NONE = new RunnerChoice(EvenChoice.Basis.LEAST, 0, 0, 0);
}
