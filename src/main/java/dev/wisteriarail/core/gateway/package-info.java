/**
 * A node that forwards opaque requests, as one deterministic state machine: the decisions of {@code
 * core.fleet} and {@code core.forward} put together.
 */
package dev.wisteriarail.core.gateway;
