/**
 * A gateway node as one deterministic state machine, which combines the decisions of {@code
 * core.fleet} and {@code core.forward}. Requests and responses are opaque to it.
 */
package dev.wisteriarail.core.gateway;
