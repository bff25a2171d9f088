package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.CustomerId;
import java.util.List;

/**
 * Configuration of a customer and its limits.
 *
 * @param id the customer's identifier
 * @param tokenHashes SHA-256 hashes of its bearer tokens, in lower-case hexadecimal
 * @param weight its weight in fair queues; at least 1
 * @param requestsPerSecond sustained request rate admitted by each node
 * @param burst number of requests that each node admits at once above the sustained rate
 * @param concurrency maximum number of requests in flight on each node
 * @param queueLimit maximum number of waiting requests on each node
 */
public record CustomerSpec(
    CustomerId id,
    List<String> tokenHashes,
    int weight,
    double requestsPerSecond,
    int burst,
    int concurrency,
    int queueLimit) {

  /** Copies the list. */
  public CustomerSpec {
    tokenHashes = List.copyOf(tokenHashes);
  }
}
