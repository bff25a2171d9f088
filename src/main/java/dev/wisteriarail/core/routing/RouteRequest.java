package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import java.util.function.Predicate;

/**
 * A request for which a runner is wanted.
 *
 * @param request the request
 * @param urgency its class; a batch request leaves some slots of a runner to the others
 * @param runnerFilter whether a runner may get it
 */
public record RouteRequest(
    InboundRequest request, Urgency urgency, Predicate<RunnerId> runnerFilter) {}
