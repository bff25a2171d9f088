/** Compares policies over replays, and draws plots and tables of the results. */
package dev.wisteriarail.report;
