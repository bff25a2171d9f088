package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/**
 * A broken promise.
 *
 * @param check name of the check
 * @param at when it was seen
 * @param detail what was seen
 */
public record Violation(String check, Instant at, String detail) {}
