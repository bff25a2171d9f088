package dev.wisteriarail.core.route;

import java.util.Optional;

/**
 * A service: runners that take the same requests.
 *
 * @param name the service's name
 * @param maxConnections connections that one runner accepts from all callers together
 * @param engine the engines, for a service of models; empty for a plain service
 */
public record ServicePool(String name, int maxConnections, Optional<EngineSpec> engine) {}
