/** Runs a core: its event loop, its clocks, and the adapters that perform its effects. */
package dev.wisteriarail.runtime;
