package dev.wisteriarail.core.config;

/** Where a model's checkpoint is held; a nearer tier loads faster. */
public enum CheckpointTier {
  /** In the host memory of the runner. */
  MEMORY,
  /** On a disk of the runner. */
  DISK,
  /** In the weight store only. */
  REMOTE
}
