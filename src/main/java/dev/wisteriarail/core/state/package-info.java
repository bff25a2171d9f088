/**
 * State folded from the log: repeats, gaps and snapshots, the same for every ledger and every node.
 */
package dev.wisteriarail.core.state;
