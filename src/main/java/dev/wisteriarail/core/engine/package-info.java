/** What an engine reports, and the orders that it takes. */
package dev.wisteriarail.core.engine;
