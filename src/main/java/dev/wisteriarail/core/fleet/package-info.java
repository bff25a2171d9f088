/**
 * The fleet of runners and nodes as seen by one node: runner directory and peers, election of the
 * coordinator, the lease for orders to runners, and placement of models and adapters.
 */
package dev.wisteriarail.core.fleet;
