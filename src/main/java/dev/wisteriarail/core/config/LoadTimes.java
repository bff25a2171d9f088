package dev.wisteriarail.core.config;

import java.time.Duration;

/**
 * Expected times to load a model, by checkpoint tier.
 *
 * @param memory load time from the runner's host memory
 * @param disk load time from a disk of the runner
 * @param remote load time from the weight store at full speed
 */
public record LoadTimes(Duration memory, Duration disk, Duration remote) {

  /** Returns the expected load time from a tier. */
  public Duration of(CheckpointTier tier) {
    return switch (tier) {
      case MEMORY -> memory;
      case DISK -> disk;
      case REMOTE -> remote;
    };
  }
}
