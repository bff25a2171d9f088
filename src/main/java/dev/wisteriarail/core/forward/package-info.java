/**
 * Opaque requests on one node: which runner gets one, how long it may wait, when it is refused, and
 * what happens after a failure. Decisions only; the adapters move the bytes.
 */
package dev.wisteriarail.core.forward;
