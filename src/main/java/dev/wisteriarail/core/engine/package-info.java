/** The reports of engines, the orders to them, and the outcomes of the orders. */
package dev.wisteriarail.core.engine;
