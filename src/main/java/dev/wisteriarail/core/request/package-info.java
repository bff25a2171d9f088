/** Handling of callers' requests: admission, queues, attempts, idempotency keys and outcomes. */
package dev.wisteriarail.core.request;
