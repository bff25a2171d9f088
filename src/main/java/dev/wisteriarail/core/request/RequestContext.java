package dev.wisteriarail.core.request;

import dev.wisteriarail.core.Step;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.id.ReplicaId;
import dev.wisteriarail.core.routing.RunnerTable;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/**
 * What the handling of requests sees of the rest of the node in one step.
 *
 * @param step the step
 * @param configuration the configuration in force
 * @param runners what is known of the runners
 * @param routable whether a replica may get new requests, as far as the log tells
 * @param logDown whether the log cannot be read now, or was never read
 * @param controller the cell's controller, where one is known
 * @param nodes live nodes of the fleet, this one included
 * @param hasEnded whether one run of a node is known to have ended for good
 */
public record RequestContext(
    Step step,
    Configuration configuration,
    RunnerTable runners,
    Predicate<ReplicaId> routable,
    boolean logDown,
    Optional<NodeId> controller,
    int nodes,
    BiPredicate<NodeId, Incarnation> hasEnded) {}
