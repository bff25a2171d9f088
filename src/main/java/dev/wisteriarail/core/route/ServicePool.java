package dev.wisteriarail.core.route;

import java.util.Optional;

/**
 * A service: a pool of runners that serve the same requests.
 *
 * @param name the service's name
 * @param maxConnections maximum number of connections of one runner, from all callers together
 * @param engine the engine configuration of a service that serves models; empty for a plain service
 */
public record ServicePool(String name, int maxConnections, Optional<EngineSpec> engine) {}
