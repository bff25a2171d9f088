package dev.wisteriarail.load;

import java.time.Duration;
import java.util.Optional;

/**
 * One call of a load plan.
 *
 * @param startOffset time of the call, relative to the start of the run
 * @param target index of the target node
 * @param caller index of the caller's token
 * @param model the model or service to call
 * @param idempotencyKey the idempotency key, if the call has one
 */
public record PlannedCall(
    Duration startOffset, int target, int caller, String model, Optional<String> idempotencyKey) {}
