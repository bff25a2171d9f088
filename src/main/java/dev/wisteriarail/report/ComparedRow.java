package dev.wisteriarail.report;

import dev.wisteriarail.replay.ReplayResult;

/**
 * One replay of a comparison.
 *
 * @param family the policy without its parameter, for example {@code fixed-timeout}
 * @param parameter the parameter, for example {@code 300 s}; empty where there is none
 * @param seed the trace's seed
 * @param result its measures
 */
public record ComparedRow(String family, String parameter, long seed, ReplayResult result) {

  /** Returns policy and parameter. */
  public String label() {
    return parameter.isEmpty() ? family : family + " " + parameter;
  }
}
