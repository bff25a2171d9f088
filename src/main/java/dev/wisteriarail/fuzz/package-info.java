/**
 * Stateful fuzzing of a fleet of node cores against fakes of the platform, in virtual time.
 *
 * <p>One scheduler runs each effect of each core as a separate task. Runs are deterministic: equal
 * seeds give equal runs.
 */
package dev.wisteriarail.fuzz;
