/**
 * Platform-independent adapters around a gateway's core: the callers' HTTP server, the relay of
 * responses, the clients for runners, and the event loop.
 */
package dev.wisteriarail.gateway;
