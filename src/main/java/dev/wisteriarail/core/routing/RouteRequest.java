package dev.wisteriarail.core.routing;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.request.InboundRequest;
import java.util.function.Predicate;

/**
 * A request that has to be routed to a runner.
 *
 * @param request the request
 * @param urgency its urgency class; a batch request may not use a runner's last slots
 * @param runnerFilter accepts the runners that may get the request
 */
public record RouteRequest(
    InboundRequest request, Urgency urgency, Predicate<RunnerId> runnerFilter) {}
