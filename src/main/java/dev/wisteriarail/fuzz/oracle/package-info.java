/**
 * The oracle: checks of the promises from what callers, backend servers and the log saw.
 *
 * <p>It shares no code with the decisions of a node.
 */
package dev.wisteriarail.fuzz.oracle;
