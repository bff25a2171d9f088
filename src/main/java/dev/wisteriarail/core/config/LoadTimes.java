package dev.wisteriarail.core.config;

import java.time.Duration;

/**
 * Expected time to load a model, by the tier of its checkpoint.
 *
 * @param memory from host memory
 * @param disk from a disk of the runner
 * @param remote from the weight store at full speed
 */
public record LoadTimes(Duration memory, Duration disk, Duration remote) {

  /** Returns the expected time for a tier. */
  public Duration of(CheckpointTier tier) {
    return switch (tier) {
      case MEMORY -> memory;
      case DISK -> disk;
      case REMOTE -> remote;
    };
  }
}
