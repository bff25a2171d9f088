package dev.wisteriarail.platform;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.gateway.CallerExchange;
import dev.wisteriarail.gateway.GatewayHttp;
import dev.wisteriarail.gateway.RunnerProtocol;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** The platform's HTTP conventions for requests to runners and their responses. Stateless. */
public final class RunnerHeaders implements RunnerProtocol {

  /** Runners accept priorities from 0, the most urgent, to 9. */
  private static final int LEAST_URGENT = 9;

  /** Longer than any valid pause in a response; the core's deadlines end attempts earlier. */
  private static final long IDLE_TIMEOUT_SECONDS = 120;

  private RunnerHeaders() {}

  /** Returns the protocol. */
  public static RunnerHeaders create() {
    return new RunnerHeaders();
  }

  @Override
  public void addHeaders(
      CallerExchange exchange, GatewayEffect.SendAttempt attempt, Request request) {
    HttpFields callerHeaders = exchange.request().getHeaders();
    Set<String> connectionHeaders = connectionHeaderNames(callerHeaders);
    request.idleTimeout(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    request.headers(
        headers -> {
          headers.clear();
          for (HttpField field : callerHeaders) {
            String name = field.getName();
            if (!WireNames.isHopByHopHeader(name)
                && !WireNames.isSystemHeader(name)
                && !(attempt.identity().replacesCredentials() && isCredential(name))
                && !connectionHeaders.contains(name.toLowerCase(Locale.ROOT))) {
              headers.add(field);
            }
          }
          headers.put(HttpHeader.HOST, callerHeaders.get(HttpHeader.HOST));
          headers.put(
              WireNames.DEADLINE, Long.toString(Math.max(1, attempt.timeLeft().toMillis())));
          headers.put(WireNames.EXPECTED_RUNNER, attempt.runner().id());
          headers.put(
              WireNames.PRIORITY, Integer.toString(Math.clamp(attempt.rank(), 0, LEAST_URGENT)));
          attempt.identity().tenant().ifPresent(name -> headers.put(WireNames.TENANT, name));
          if (!exchange.lastEvent().isEmpty()) {
            headers.put(WireNames.LAST_EVENT, exchange.lastEvent());
          }
        });
  }

  /** Returns whether a header states who the caller is. */
  private static boolean isCredential(String name) {
    return name.equalsIgnoreCase(HttpHeader.AUTHORIZATION.asString())
        || name.equalsIgnoreCase(WireNames.TENANT);
  }

  private static Set<String> connectionHeaderNames(HttpFields headers) {
    Set<String> named = new HashSet<>();
    for (String name : headers.getCSV(HttpHeader.CONNECTION, false)) {
      named.add(name.toLowerCase(Locale.ROOT));
    }
    return named;
  }

  @Override
  public ResponseHead parseHead(
      CallerExchange exchange, GatewayEffect.SendAttempt attempt, Response response) {
    HttpFields headers = response.getHeaders();
    HttpFields.Mutable relayed = HttpFields.build();
    Set<String> connectionHeaders = connectionHeaderNames(headers);
    for (HttpField field : headers) {
      String name = field.getName();
      if (!WireNames.isHopByHopHeader(name)
          && !name.equalsIgnoreCase(WireNames.LEAVING)
          && !connectionHeaders.contains(name.toLowerCase(Locale.ROOT))) {
        relayed.add(field);
      }
    }
    List<String> echoedIds = headers.getValuesList(WireNames.REQUEST_ID);
    boolean named = echoedIds.contains(exchange.forward().id());
    boolean refused =
        headers.contains(WireNames.NOT_EXECUTED) || response.getStatus() == STATUS_MISDIRECTED;
    // A duplicate of an earlier response may carry no request id. So a response without one is
    // accepted only if it is a failure, and believed not to have run the request only as the first
    // on its connection.
    boolean matchesRequest =
        named || (echoedIds.isEmpty() && !HttpStatus.isSuccess(response.getStatus()));
    return new ResponseHead(
        response.getStatus(),
        matchesRequest,
        headers.contains(WireNames.SIGNATURE),
        refused && (named || GatewayHttp.isFirstOnConnection(response)),
        relayed,
        notifications(attempt.runner().id(), response));
  }

  /**
   * Returns what a runner reports about its own state; nothing if the response names another runner
   * at the same address.
   */
  static List<RunnerNotification> notifications(String runner, Response response) {
    HttpFields headers = response.getHeaders();
    String answeringRunner = headers.get(WireNames.RUNNER_ID);
    if (answeringRunner != null && !answeringRunner.equals(runner)) {
      return List.of();
    }
    List<RunnerNotification> notifications = new ArrayList<>();
    if (LEAVING_VALUE.equals(headers.get(WireNames.LEAVING))) {
      notifications.add(new RunnerNotification.Leaving());
    }
    String seconds = headers.get(HttpHeader.RETRY_AFTER);
    if (response.getStatus() == STATUS_UNAVAILABLE && seconds != null) {
      notifications.add(new RunnerNotification.RetryAfter(seconds.trim()));
    }
    return notifications;
  }

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String LEAVING_VALUE = "1";
}
