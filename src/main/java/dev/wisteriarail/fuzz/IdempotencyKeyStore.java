package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import java.util.Set;
import java.util.TreeSet;

/** The idempotency keys that the servers of a deduplicating service share. Not thread-safe. */
final class IdempotencyKeyStore {

  private final Set<String> seen = new TreeSet<>();

  /** Returns whether the servers run a request instead of deduplicating it by its key. */
  boolean isFirst(InboundRequest request) {
    boolean remembers =
        request.target() instanceof Target.ServiceTarget target
            && target.service().equals(Deployment.DEDUPLICATING_SERVICE);
    if (!remembers || request.key().isEmpty()) {
      return true;
    }
    return seen.add(request.customer() + "/" + request.key().get());
  }
}
