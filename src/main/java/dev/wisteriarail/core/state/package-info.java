/**
 * State derived from the log. Handles repeated records, gaps and snapshots in the same way for all
 * replicated states and on all nodes.
 */
package dev.wisteriarail.core.state;
