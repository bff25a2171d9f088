package dev.wisteriarail.report;

import dev.wisteriarail.replay.ReplayResult;

/**
 * The result of one replay of a comparison.
 *
 * @param family the policy without its parameter, for example {@code fixed-timeout}
 * @param parameter the parameter, for example {@code 300 s}; empty if the policy has none
 * @param seed seed of the trace
 * @param result measures of the replay
 */
public record ComparedRow(String family, String parameter, long seed, ReplayResult result) {

  /** Returns the policy with its parameter, if it has one. */
  public String label() {
    return parameter.isEmpty() ? family : family + " " + parameter;
  }
}
