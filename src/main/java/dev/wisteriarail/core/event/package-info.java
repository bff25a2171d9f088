/** Numbered events of the structured log, and the limit on their volume. */
package dev.wisteriarail.core.event;
