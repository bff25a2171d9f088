/** The messages that nodes exchange. */
package dev.wisteriarail.core.peer;
