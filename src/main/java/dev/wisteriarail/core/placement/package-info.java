/** The policy that decides which model is loaded where, and which replica is unloaded. */
package dev.wisteriarail.core.placement;
