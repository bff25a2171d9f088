/** Runs a core: its event loop, its clock, and the adapters that carry out its effects. */
package dev.wisteriarail.runtime;
