package dev.wisteriarail.engine;

import dev.wisteriarail.core.engine.EngineOrder;
import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.OrderId;

/**
 * Body of the request that sends an order to an engine.
 *
 * @param order the order's identifier
 * @param fence the sender's fencing number
 * @param body the order
 */
public record EngineOrderCall(OrderId order, FencingNumber fence, EngineOrder body) {}
