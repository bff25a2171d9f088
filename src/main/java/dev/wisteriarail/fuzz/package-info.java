/**
 * Stateful fuzzing of a whole fleet of node cores against small fakes, in virtual time.
 *
 * <p>One seeded scheduler carries every effect of every core as a task of its own. The same seed
 * gives the same run.
 */
package dev.wisteriarail.fuzz;
