package dev.wisteriarail.platform;

import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.gateway.CallerExchange;
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

/** How runners are asked and how they answer. Stateless. */
public final class RunnerHeaders implements RunnerProtocol {

  /** Runners take priorities from 0, the most urgent, to 9. */
  private static final int LEAST_URGENT = 9;

  /** Longer than any answer may pause; the core's deadlines end attempts before. */
  private static final long IDLE_SECONDS = 120;

  private RunnerHeaders() {}

  /** Returns the protocol. */
  public static RunnerHeaders create() {
    return new RunnerHeaders();
  }

  @Override
  public void prepare(CallerExchange exchange, GatewayEffect.SendAttempt attempt, Request request) {
    HttpFields sent = exchange.request().getHeaders();
    Set<String> named = namedByConnection(sent);
    request.idleTimeout(IDLE_SECONDS, TimeUnit.SECONDS);
    request.headers(
        headers -> {
          headers.clear();
          for (HttpField field : sent) {
            String name = field.getName();
            if (!Names.isConnectionHeader(name)
                && !Names.isSystemHeader(name)
                && !named.contains(name.toLowerCase(Locale.ROOT))) {
              headers.add(field);
            }
          }
          headers.put(HttpHeader.HOST, sent.get(HttpHeader.HOST));
          headers.put(Names.DEADLINE, Long.toString(Math.max(1, attempt.timeLeft().toMillis())));
          headers.put(Names.EXPECTED_RUNNER, attempt.runner().id());
          headers.put(
              Names.PRIORITY, Integer.toString(Math.clamp(attempt.rank(), 0, LEAST_URGENT)));
          if (!exchange.lastEvent().isEmpty()) {
            headers.put(Names.LAST_EVENT, exchange.lastEvent());
          }
        });
  }

  private static Set<String> namedByConnection(HttpFields headers) {
    Set<String> named = new HashSet<>();
    for (String name : headers.getCSV(HttpHeader.CONNECTION, false)) {
      named.add(name.toLowerCase(Locale.ROOT));
    }
    return named;
  }

  @Override
  public AnswerHead read(
      CallerExchange exchange, GatewayEffect.SendAttempt attempt, Response response) {
    HttpFields headers = response.getHeaders();
    HttpFields.Mutable passed = HttpFields.build();
    Set<String> named = namedByConnection(headers);
    for (HttpField field : headers) {
      String name = field.getName();
      if (!Names.isConnectionHeader(name)
          && !name.equalsIgnoreCase(Names.LEAVING)
          && !named.contains(name.toLowerCase(Locale.ROOT))) {
        passed.add(field);
      }
    }
    List<String> echoed = headers.getValuesList(Names.REQUEST_ID);
    // A late copy that names no request could answer any: only a failure is believed without it.
    boolean own =
        echoed.contains(exchange.forward().id())
            || (echoed.isEmpty() && !HttpStatus.isSuccess(response.getStatus()));
    return new AnswerHead(
        response.getStatus(),
        own,
        headers.contains(Names.SIGNATURE),
        headers.contains(Names.NOT_RUN) || response.getStatus() == STATUS_MISDIRECTED,
        passed,
        words(attempt.runner().id(), response));
  }

  /** Returns what a runner says of itself; nothing if another one answers at its address. */
  static List<RunnerNotification> words(String runner, Response response) {
    HttpFields headers = response.getHeaders();
    String named = headers.get(Names.RUNNER);
    if (named != null && !named.equals(runner)) {
      return List.of();
    }
    List<RunnerNotification> words = new ArrayList<>();
    if (LEAVES.equals(headers.get(Names.LEAVING))) {
      words.add(new RunnerNotification.Leaving());
    }
    String seconds = headers.get(HttpHeader.RETRY_AFTER);
    if (response.getStatus() == STATUS_UNAVAILABLE && seconds != null) {
      words.add(new RunnerNotification.RetryAfter(seconds.trim()));
    }
    return words;
  }

  private static final int STATUS_MISDIRECTED = 421;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final String LEAVES = "1";
}
