package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.KindId;
import java.time.Duration;

/**
 * One kind of request.
 *
 * @param id the kind
 * @param urgency its queue class
 * @param deadline time from arrival within which the answer must have started or the request is
 *     refused
 * @param repeatable whether running it twice does no harm
 */
public record KindSpec(KindId id, Urgency urgency, Duration deadline, boolean repeatable) {}
