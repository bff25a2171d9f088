package dev.wisteriarail.core.forward;

import dev.wisteriarail.core.fleet.RunnerRun;

/**
 * The loss of a connection to a runner, as sent to peers.
 *
 * @param run the run of the runner
 * @param ageMillis time since the loss; nodes share no clock
 */
public record RunnerLoss(RunnerRun run, long ageMillis) {}
