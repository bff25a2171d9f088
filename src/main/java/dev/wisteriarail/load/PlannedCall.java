package dev.wisteriarail.load;

import java.time.Duration;
import java.util.Optional;

/**
 * One call of a load plan.
 *
 * @param startOffset time from the start of the run
 * @param target index of the target
 * @param caller index of the caller's token
 * @param model the model to ask, or the service to call
 * @param idempotencyKey the idempotency key
 */
public record PlannedCall(
    Duration startOffset, int target, int caller, String model, Optional<String> idempotencyKey) {}
