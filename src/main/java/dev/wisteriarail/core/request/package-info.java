/** Requests of callers: their states, queues, attempts and endings. */
package dev.wisteriarail.core.request;
