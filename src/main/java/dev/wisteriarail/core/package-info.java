/**
 * The node as a deterministic state machine that performs no I/O: it processes events and returns
 * effects.
 */
package dev.wisteriarail.core;
