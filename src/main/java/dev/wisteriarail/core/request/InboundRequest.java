package dev.wisteriarail.core.request;

import dev.wisteriarail.core.config.Urgency;
import dev.wisteriarail.core.id.CustomerId;
import dev.wisteriarail.core.id.IdempotencyKey;
import dev.wisteriarail.core.id.KindId;
import dev.wisteriarail.core.id.RequestId;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request whose headers have been validated.
 *
 * @param id the request's id
 * @param customer the authenticated customer
 * @param kind the kind of request
 * @param target the model or service that the request addresses
 * @param key the idempotency key, if the caller sent one
 * @param urgency override of the kind's urgency
 * @param deadline override of the kind's deadline, counted from arrival
 * @param body the request's body, UTF-8 text
 */
public record InboundRequest(
    RequestId id,
    CustomerId customer,
    KindId kind,
    Target target,
    Optional<IdempotencyKey> key,
    Optional<Urgency> urgency,
    Optional<Duration> deadline,
    String body) {}
