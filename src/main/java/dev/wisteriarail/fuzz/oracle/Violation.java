package dev.wisteriarail.fuzz.oracle;

import java.time.Instant;

/**
 * A violation of a promise.
 *
 * @param check name of the check
 * @param at when it was observed
 * @param detail description of the violation
 */
public record Violation(String check, Instant at, String detail) {}
