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
 * The node state that request handling uses in one step.
 *
 * @param step the current step
 * @param configuration the active configuration
 * @param runners the state of the runners
 * @param routable whether a replica may receive new requests according to the log
 * @param logDown whether the log is unreadable now or was never read
 * @param controller the cell's controller, if known
 * @param nodes number of live nodes in the fleet, including this one
 * @param hasEnded whether an incarnation of a node is known to have ended permanently
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
