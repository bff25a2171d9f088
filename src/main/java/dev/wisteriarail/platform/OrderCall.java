package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.gateway.GatewayHttp;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/**
 * The call that sends an order to a runner.
 *
 * <p>An order is written only to a connection on which its runner answered lately. Otherwise its
 * bytes could wait in a buffer, of an interrupted path or of a runner that has not accepted the
 * connection yet, and arrive after orders of the next lease holder. If the connection has not
 * answered, a report is requested first, and the order follows on the connection that answered.
 *
 * <p>Life cycle: one instance per order. Thread-safe.
 */
final class OrderCall {

  /** Time for which a connection that has answered counts as working. */
  private static final Duration MAX_ANSWER_AGE = Duration.ofSeconds(1);

  /** Minimum time that is left for an order after its runner was asked for a report. */
  private static final long MIN_TIMEOUT_MILLIS = 50;

  private final HttpClient http;
  private final URI uri;
  private final GatewayEffect.SendOrder order;
  private final byte[] body;
  private final ReportRequest reportRequest;
  private final Consumer<RunnerNotification> notifications;
  private final BiConsumer<FleetOrderOutcome, String> callback;
  private final long startedNanos = System.nanoTime();

  private OrderCall(
      HttpClient http,
      URI uri,
      GatewayEffect.SendOrder order,
      byte[] body,
      ReportRequest reportRequest,
      Consumer<RunnerNotification> notifications,
      BiConsumer<FleetOrderOutcome, String> callback) {
    this.http = http;
    this.uri = uri;
    this.order = order;
    this.body = body;
    this.reportRequest = reportRequest;
    this.notifications = notifications;
    this.callback = callback;
  }

  /**
   * Creates a call.
   *
   * @param http client whose connections are reset when a call is given up
   * @param notifications receives the notifications in the runner's response head
   * @param callback receives the outcome once, and a description of it
   */
  static OrderCall create(
      HttpClient http,
      URI uri,
      GatewayEffect.SendOrder order,
      byte[] body,
      ReportRequest reportRequest,
      Consumer<RunnerNotification> notifications,
      BiConsumer<FleetOrderOutcome, String> callback) {
    return new OrderCall(http, uri, order, body, reportRequest, notifications, callback);
  }

  /** Asks a runner for a report and tells when the call has ended, with any result. */
  @FunctionalInterface
  interface ReportRequest {
    void send(RunnerEntry runner, long timeoutMillis, Runnable done);
  }

  /** Sends the order; its outcome goes to the callback once. */
  void send() {
    sendIfProven(order.timeout().toMillis(), this::askAndSend);
  }

  /** Asks the runner for a report, and sends the order on the connection on which it answered. */
  private void askAndSend() {
    reportRequest.send(
        order.runner(),
        Math.max(1, millisLeft()),
        () -> {
          long timeoutMillis = millisLeft();
          if (timeoutMillis < MIN_TIMEOUT_MILLIS) {
            fail("no time is left to send the order");
          } else {
            sendIfProven(timeoutMillis, () -> fail("no connection to the runner answers"));
          }
        });
  }

  private long millisLeft() {
    Duration elapsed = Duration.ofNanos(System.nanoTime() - startedNanos);
    return order.timeout().minus(elapsed).toMillis();
  }

  private void fail(String reason) {
    callback.accept(FleetOrderOutcome.UNREACHABLE, reason);
  }

  /**
   * Sends the order if its connection answered lately.
   *
   * @param otherwise what to do if it did not, so that nothing was written
   */
  private void sendIfProven(long timeoutMillis, Runnable otherwise) {
    AtomicBoolean sent = new AtomicBoolean();
    AtomicBoolean unproven = new AtomicBoolean();
    http.POST(uri)
        .headers(headers -> headers.put(WireNames.EXPECTED_RUNNER, order.runner().id()))
        .body(new BytesRequestContent("application/json", body))
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::recordProgress)
        .onRequestBegin(begun -> begin(begun, sent, unproven))
        .send(
            new BufferingResponseListener(HttpPlatformClient.MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (unproven.get()) {
                  otherwise.run();
                } else if (result.isFailed()) {
                  callback.accept(
                      sent.get() ? FleetOrderOutcome.UNKNOWN : FleetOrderOutcome.UNREACHABLE,
                      String.valueOf(result.getFailure().getMessage()));
                } else {
                  int status = result.getResponse().getStatus();
                  RunnerHeaders.notifications(order.runner().id(), result.getResponse())
                      .forEach(notifications);
                  callback.accept(outcome(status), status + " " + getContentAsString(UTF_8));
                }
              }
            });
  }

  private static void begin(Request begun, AtomicBoolean sent, AtomicBoolean unproven) {
    if (GatewayHttp.hasConnectionAnsweredWithin(begun, MAX_ANSWER_AGE)) {
      sent.set(true);
    } else {
      unproven.set(true);
      CompletableFuture<Boolean> _ =
          begun.abort(new IOException("the connection has not answered lately"));
    }
  }

  private static FleetOrderOutcome outcome(int status) {
    return switch (status) {
      case 202 -> FleetOrderOutcome.ACCEPTED;
      case 200 -> FleetOrderOutcome.HOLDS;
      case 409 -> FleetOrderOutcome.CONFLICT;
      case 412 -> FleetOrderOutcome.FENCED;
      case 400, 421 -> FleetOrderOutcome.REFUSED;
      default -> FleetOrderOutcome.UNKNOWN;
    };
  }
}
