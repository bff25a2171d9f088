package dev.wisteriarail.core.config;

/** What a runner runs. */
public enum RunnerRole {
  /** A model engine. */
  MODEL,
  /** Plain services. */
  APPLICATION
}
