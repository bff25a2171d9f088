/** Compares placement policies by replays, and renders the results as tables and plots. */
package dev.wisteriarail.report;
