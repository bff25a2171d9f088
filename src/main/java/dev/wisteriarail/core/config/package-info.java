/**
 * Configuration: the typed answers of the teams, and the ledger that decides which change is in
 * force.
 */
package dev.wisteriarail.core.config;
