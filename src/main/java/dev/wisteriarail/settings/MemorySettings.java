package dev.wisteriarail.settings;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The limit on the bytes that a gateway node holds for callers and runners.
 *
 * @param heldBytes the limit; empty for a share of the maximum heap
 */
public record MemorySettings(OptionalLong heldBytes) {

  private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

  private static final long MAX_MEGABYTES = 1_000_000;

  /** Returns the settings of the table {@code memory}; empty if it is absent or not enabled. */
  static Optional<MemorySettings> from(TomlDocument toml) {
    boolean enabled = toml.flag("memory.enabled", true);
    OptionalLong heldBytes =
        toml.contains("memory.held_megabytes")
            ? OptionalLong.of(
                toml.integer("memory.held_megabytes", 1, MAX_MEGABYTES, 1) * BYTES_PER_MEGABYTE)
            : OptionalLong.empty();
    return toml.contains("memory") && enabled
        ? Optional.of(new MemorySettings(heldBytes))
        : Optional.empty();
  }
}
