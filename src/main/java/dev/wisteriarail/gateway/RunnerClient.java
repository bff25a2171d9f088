package dev.wisteriarail.gateway;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.forward.AttemptResult;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.route.CallerBounds;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Hands requests to runners.
 *
 * <p>A request that must not run twice gets a connection of its own, since a kept one may be closed
 * by the runner just as the request is sent, and the outcome would not be known. Thread-safe.
 */
final class RunnerClient {

  /** Room for the header fields that the node itself adds, in bytes. */
  private static final int ADDED_HEADER_BYTES = 4 * 1024;

  private final HttpClient pooled;
  private final HttpClient unpooled;
  private final RunnerProtocol protocol;
  private final Map<Long, AttemptRelay> relays = new ConcurrentHashMap<>();

  RunnerClient(HttpClient pooled, HttpClient unpooled, RunnerProtocol protocol) {
    this.pooled = pooled;
    this.unpooled = unpooled;
    this.protocol = protocol;
    setBounds(CallerBounds.DEFAULT);
  }

  /** Takes new bounds: what a caller may send can also be handed on. */
  void setBounds(CallerBounds bounds) {
    int longest = bounds.maxHeaderBytes() + ADDED_HEADER_BYTES;
    pooled.setMaxRequestHeadersSize(longest);
    unpooled.setMaxRequestHeadersSize(longest);
  }

  /** Sends an attempt; tells what becomes of it, and before that what its runner says of itself. */
  void send(
      CallerExchange exchange,
      GatewayEffect.SendAttempt attempt,
      Consumer<RunnerNotification> notifications,
      BiConsumer<Integer, AttemptResult> results) {
    exchange.setCurrentAttempt(attempt.attempt());
    AttemptRelay relay =
        new AttemptRelay(
            exchange,
            attempt,
            protocol,
            notifications,
            result -> results.accept(attempt.attempt(), result));
    relays.put(attempt.exchange(), relay);
    HttpClient http = attempt.repeatable() ? pooled : unpooled;
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

  /** Closes the connection of an exchange's attempt. */
  void cancel(long exchange) {
    AttemptRelay relay = relays.remove(exchange);
    if (relay != null) {
      relay.cancel();
    }
  }

  /** Passes on the failure that the last attempt's runner answered. */
  boolean relayAnswer(long exchange) {
    AttemptRelay relay = relays.get(exchange);
    return relay != null && relay.relayAnswer();
  }

  /** Forgets an exchange that ended. */
  void remove(long exchange) {
    relays.remove(exchange);
  }
}
