/** Assembles a node from its settings: core, runtime and adapters. */
package dev.wisteriarail.node;
