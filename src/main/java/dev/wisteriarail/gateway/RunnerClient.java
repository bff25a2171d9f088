package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.HeldBytes;
import dev.wisteriarail.core.route.CallerBounds;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Sends requests to runners.
 *
 * <p>A request that must not run twice uses a new connection: a runner may close a pooled one just
 * as the request is sent, which would leave the request's outcome unknown. So does each further
 * attempt of a request: a faulty runner may repeat its refusal of an earlier attempt, which bears
 * the same id, on the connection on which it sent it. Thread-safe.
 */
final class RunnerClient {

  /** Space for the header fields that the node adds, in bytes. */
  private static final int ADDED_HEADER_BYTES = 4 * 1024;

  private final HttpClient pooled;
  private final HttpClient unpooled;
  private final RunnerProtocol protocol;
  private final HeldBytes heldBytes;
  private final Map<Long, Map<Integer, AttemptRelay>> relays = new ConcurrentHashMap<>();

  RunnerClient(
      HttpClient pooled, HttpClient unpooled, RunnerProtocol protocol, HeldBytes heldBytes) {
    this.pooled = pooled;
    this.unpooled = unpooled;
    this.protocol = protocol;
    this.heldBytes = heldBytes;
    setBounds(CallerBounds.DEFAULT);
  }

  /** Sets the header limit so that every header accepted from a caller can be forwarded. */
  void setBounds(CallerBounds bounds) {
    int longest = bounds.maxHeaderBytes() + ADDED_HEADER_BYTES;
    pooled.setMaxRequestHeadersSize(longest);
    unpooled.setMaxRequestHeadersSize(longest);
  }

  /**
   * Sends an attempt.
   *
   * @param notifications receives the notifications in the runner's response head
   * @param results receives the attempt's number and each result
   */
  void send(
      CallerExchange exchange,
      GatewayEffect.SendAttempt attempt,
      Consumer<RunnerNotification> notifications,
      BiConsumer<Integer, AttemptResult> results) {
    exchange.addAttempt(attempt.attempt());
    AttemptRelay relay =
        new AttemptRelay(
            exchange,
            attempt,
            protocol,
            heldBytes,
            pooled.getScheduler(),
            notifications,
            result -> results.accept(attempt.attempt(), result));
    relays.compute(
        attempt.exchange(),
        (number, attempts) -> {
          Map<Integer, AttemptRelay> all = attempts == null ? new ConcurrentHashMap<>() : attempts;
          all.put(attempt.attempt(), relay);
          return all;
        });
    boolean first = attempt.attempt() == 1;
    HttpClient http = attempt.repeatable() && first ? pooled : unpooled;
    Request request =
        http.newRequest(attempt.runner().host(), attempt.runner().port())
            .method(exchange.request().getMethod())
            .path(exchange.request().getHttpURI().getPathQuery());
    if (exchange.body().length > 0) {
      request.body(new BytesRequestContent((String) null, exchange.body()));
    }
    protocol.addHeaders(exchange, attempt, request);
    relay.send(request);
  }

  /**
   * Ends an attempt whose sending threw an exception.
   *
   * @return its result
   */
  AttemptResult abandon(GatewayEffect.SendAttempt attempt, String reason) {
    AttemptRelay relay = relay(attempt.exchange(), attempt.attempt());
    if (relay == null) {
      return new AttemptResult.LocalFault(reason, false, "");
    }
    removeAttempt(attempt.exchange(), attempt.attempt());
    return relay.abandon(reason);
  }

  /** Cancels and removes an attempt of an exchange, which closes its connection. */
  void cancel(long exchange, int attempt) {
    AttemptRelay relay = relay(exchange, attempt);
    if (relay != null) {
      removeAttempt(exchange, attempt);
      relay.cancel();
    }
  }

  private AttemptRelay relay(long exchange, int attempt) {
    return relays.getOrDefault(exchange, Map.of()).get(attempt);
  }

  private void removeAttempt(long exchange, int attempt) {
    relays.computeIfPresent(
        exchange,
        (number, attempts) -> {
          attempts.remove(attempt);
          return attempts.isEmpty() ? null : attempts;
        });
  }

  /**
   * Relays the failure response of an attempt's runner to the caller.
   *
   * @return whether there was one and it was sent
   */
  boolean relayAnswer(long exchange, int attempt) {
    AttemptRelay relay = relay(exchange, attempt);
    return relay != null && relay.relayAnswer();
  }

  /** Cancels and removes the attempts of an exchange that has ended. */
  void remove(long exchange) {
    Map<Integer, AttemptRelay> attempts = relays.remove(exchange);
    if (attempts != null) {
      attempts.values().forEach(AttemptRelay::cancel);
    }
  }
}
