package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.AdapterSpec;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.CustomerSpec;
import dev.wisteriarail.core.config.KindSpec;
import dev.wisteriarail.core.config.ModelSpec;
import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.result.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Checks an arriving request against the configuration and its customer's limits.
 *
 * <p>Life cycle: one per node. Not thread-safe; owned by the request table.
 */
final class Admission {

  private static final Duration QUEUE_FULL_RETRY_AFTER = Duration.ofSeconds(1);

  private final Map<CustomerId, TokenBucket> rateLimiters = new TreeMap<>();

  private Admission() {}

  /** Returns an instance whose rate limiters are all full. */
  static Admission create() {
    return new Admission();
  }

  /**
   * Returns the refusal of a request, or empty if the request is admitted.
   *
   * @param waiting number of requests of the same customer that are queued on this node
   */
  Optional<Refusal> check(
      InboundRequest request, Configuration configuration, int waiting, Instant now) {
    return checkKind(request, configuration)
        .or(() -> checkTarget(request, configuration))
        .or(() -> checkLimits(request, configuration, waiting, now));
  }

  // Effective values

  /**
   * Returns a request's urgency: the caller may lower the urgency of its kind, but not raise it.
   */
  static Urgency effectiveUrgency(InboundRequest request, KindSpec kind) {
    return request
        .urgency()
        .filter(requested -> requested.compareTo(kind.urgency()) > 0)
        .orElse(kind.urgency());
  }

  /** Returns a request's deadline, limited to the longest deadline of all configured kinds. */
  static Duration effectiveDeadline(
      InboundRequest request, KindSpec kind, Configuration configuration) {
    Duration requested = request.deadline().orElse(kind.deadline());
    Duration longest =
        configuration.kinds().values().stream()
            .map(KindSpec::deadline)
            .max(Duration::compareTo)
            .orElse(requested);
    return requested.compareTo(longest) < 0 ? requested : longest;
  }

  /**
   * Returns whether an intent must be recorded before the request runs: its kind is not repeatable,
   * and its service does not deduplicate requests itself.
   */
  static boolean needsIntent(InboundRequest request, KindSpec kind, Configuration configuration) {
    boolean deduplicated =
        request.target() instanceof Target.ServiceTarget target
            && configuration.services().get(target.service()).deduplicates();
    return !kind.repeatable() && !deduplicated;
  }

  // Checks

  private static Optional<Refusal> checkKind(InboundRequest request, Configuration configuration) {
    KindSpec kind = configuration.kinds().get(request.kind());
    if (kind == null) {
      return refuse(ResultCode.KIND_UNKNOWN, "no request kind named " + request.kind());
    }
    if (!kind.repeatable() && request.key().isEmpty()) {
      return refuse(
          ResultCode.IDEMPOTENCY_KEY_MISSING,
          "an Idempotency-Key header is required for requests of kind " + kind.id());
    }
    return Optional.empty();
  }

  private static Optional<Refusal> checkTarget(
      InboundRequest request, Configuration configuration) {
    return switch (request.target()) {
      case Target.ModelTarget target -> checkModel(request, target, configuration);
      case Target.ServiceTarget target ->
          configuration.services().containsKey(target.service())
              ? Optional.empty()
              : refuse(ResultCode.SERVICE_UNKNOWN, "no service named " + target.service());
    };
  }

  private static Optional<Refusal> checkModel(
      InboundRequest request, Target.ModelTarget target, Configuration configuration) {
    ModelSpec model = configuration.models().get(target.model());
    if (model == null || !model.customer().equals(request.customer())) {
      return refuse(ResultCode.MODEL_UNKNOWN, "no model named " + target.model());
    }
    if (target.adapter().isEmpty()) {
      return Optional.empty();
    }
    AdapterSpec adapter = configuration.adapters().get(target.adapter().get());
    boolean usable =
        adapter != null
            && adapter.customer().equals(request.customer())
            && adapter.model().equals(target.model());
    return usable
        ? Optional.empty()
        : refuse(
            ResultCode.ADAPTER_UNKNOWN,
            "no adapter named " + target.adapter().get() + " of model " + target.model());
  }

  private Optional<Refusal> checkLimits(
      InboundRequest request, Configuration configuration, int waiting, Instant now) {
    CustomerSpec customer = configuration.customers().get(request.customer());
    if (customer == null) {
      return Optional.empty();
    }
    if (waiting >= customer.queueLimit()) {
      return Optional.of(
          Refusal.notRun(
              ResultCode.QUEUE_FULL,
              waiting + " requests are queued on this node",
              QUEUE_FULL_RETRY_AFTER));
    }
    TokenBucket rateLimiter =
        rateLimiters.computeIfAbsent(customer.id(), id -> TokenBucket.full(now, customer.burst()));
    if (rateLimiter.tryAcquire(now, customer.requestsPerSecond(), customer.burst())) {
      return Optional.empty();
    }
    return Optional.of(
        Refusal.notRun(
            ResultCode.RATE_LIMITED,
            "the limit is " + customer.requestsPerSecond() + " requests per second on each node",
            rateLimiter.timeUntilNextToken(customer.requestsPerSecond())));
  }

  private static Optional<Refusal> refuse(ResultCode code, String detail) {
    return Optional.of(Refusal.notRun(code, detail));
  }
}
