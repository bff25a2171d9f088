/**
 * The adapters around a gateway's core that no platform's names occur in: callers' connections, the
 * relay of answers, and the event loop.
 */
package dev.wisteriarail.gateway;
