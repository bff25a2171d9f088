/** The messages that nodes send each other. */
package dev.wisteriarail.core.peer;
