/**
 * The names, formats and calls of the platform that the users run: what its callers send, what its
 * runners answer, and its metadata store. Nothing here decides.
 */
package dev.wisteriarail.platform;
