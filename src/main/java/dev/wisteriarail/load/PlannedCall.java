package dev.wisteriarail.load;

import java.time.Duration;
import java.util.Optional;

/**
 * One call of a load plan.
 *
 * @param at time from the start of the run
 * @param target index of the target
 * @param caller index of the caller's token
 * @param model the model to ask, or the service to call
 * @param key the idempotency key
 */
public record PlannedCall(
    Duration at, int target, int caller, String model, Optional<String> key) {}
