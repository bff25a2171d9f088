/**
 * The node as a deterministic state machine without input or output: events go in, effects come
 * out.
 */
package dev.wisteriarail.core;
