/** Numbered log events that the core emits. */
package dev.wisteriarail.core.event;
