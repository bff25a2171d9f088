package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.CustomerId;
import java.util.List;

/**
 * One customer and its limits.
 *
 * @param id the customer
 * @param tokenHashes SHA-256 hashes of its bearer tokens, in lower-case hexadecimal
 * @param weight its share in fair queues, 1 or more
 * @param requestsPerSecond sustained request rate admitted on each node
 * @param burst requests admitted at once above the sustained rate
 * @param concurrency requests in flight admitted on each node
 * @param queueLimit requests waiting admitted on each node
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
