package dev.wisteriarail.core.config;

/** Role of a runner. */
public enum RunnerRole {
  /** Runs a model engine. */
  MODEL,
  /** Runs plain services. */
  APPLICATION
}
