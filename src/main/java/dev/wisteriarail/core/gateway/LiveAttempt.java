package dev.wisteriarail.core.gateway;

import dev.wisteriarail.core.fleet.RunnerEntry;
import java.time.Instant;

/**
 * An attempt whose result is not known yet.
 *
 * @param number number of the attempt, from 1
 * @param runner the runner that has it
 * @param sentAt when it was sent
 */
record LiveAttempt(int number, RunnerEntry runner, Instant sentAt) {}
