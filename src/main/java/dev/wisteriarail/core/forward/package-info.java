/**
 * Decisions on the opaque requests of one node: which runner gets a request, how long the request
 * may wait, when it is refused, and what happens after a failure. The adapters transfer the bytes.
 */
package dev.wisteriarail.core.forward;
