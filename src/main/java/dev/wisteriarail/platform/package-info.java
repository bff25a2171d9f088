/**
 * Adapter to the platform that a gateway is deployed on: the HTTP conventions of its callers and
 * runners, and the client of its metadata store. It contains no decision logic.
 */
package dev.wisteriarail.platform;
