package dev.wisteriarail.fuzz;

import dev.wisteriarail.core.request.InboundRequest;
import dev.wisteriarail.core.request.Target;
import java.util.Set;
import java.util.TreeSet;

/** What the servers of a deduplicating service remember together. */
final class IdempotencyKeyStore {

  private final Set<String> seen = new TreeSet<>();

  /** Returns whether the servers run a request, and do not answer from their memory. */
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
