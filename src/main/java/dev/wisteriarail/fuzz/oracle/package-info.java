/**
 * The oracle: checks of the system's promises against what callers, backend servers, the log and
 * operators observe.
 *
 * <p>It shares no decision logic with the nodes.
 */
package dev.wisteriarail.fuzz.oracle;
