/** Placement of models: which models are loaded on which runners, and which are unloaded. */
package dev.wisteriarail.core.placement;
