package dev.wisteriarail.core.config;

/** Storage tier of a model's checkpoint, in the order of increasing load time. */
public enum CheckpointTier {
  /** In the host memory of the runner. */
  MEMORY,
  /** On a local disk of the runner. */
  DISK,
  /** Only in the weight store. */
  REMOTE
}
