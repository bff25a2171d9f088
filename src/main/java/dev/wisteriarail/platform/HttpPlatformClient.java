package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.gateway.GatewayHttp;
import dev.wisteriarail.gateway.PlatformClient;
import java.io.IOException;
import java.net.URI;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/**
 * HTTP client for control calls: reads and writes of the store, orders to runners, and requests for
 * their reports. Thread-safe.
 */
public final class HttpPlatformClient implements PlatformClient {

  private static final Logger LOGGER = LogManager.getLogger(HttpPlatformClient.class);

  /** Timeout of a report request; a healthy runner responds within milliseconds. */
  private static final long REPORT_TIMEOUT_MILLIS = 500;

  static final int MAX_ANSWER_BYTES = 1024 * 1024;

  private final StoreClient store;
  private final HttpClient http;
  private final InstantSource wallClock = InstantSource.system();

  private HttpPlatformClient(HttpClient http, String storeAddress) {
    this.http = http;
    store = new StoreClient(http, storeAddress);
  }

  /**
   * Creates a client.
   *
   * @param http a started HTTP client
   * @param storeAddress address of the store, as {@code host:port}
   */
  public static HttpPlatformClient create(HttpClient http, String storeAddress) {
    return new HttpPlatformClient(http, storeAddress);
  }

  // Reads

  @Override
  public void readStore(StoreRead call, Consumer<StoreAnswer> callback) {
    switch (call) {
      case StoreRead.NewestConfiguration newest ->
          store.readNewest(
              WireNames.OPERATOR_TOPIC,
              reading(outcome -> StoreAnswers.configuration(outcome, LogPosition.NONE), callback));
      case StoreRead.NextConfiguration next ->
          store.read(
              WireNames.OPERATOR_TOPIC,
              next.from().offset(),
              next.maxWait().toMillis(),
              reading(outcome -> StoreAnswers.configuration(outcome, next.from()), callback));
      case StoreRead.WholeDirectory whole ->
          store.readNewest(
              WireNames.RUNNERS_TOPIC,
              reading(outcome -> StoreAnswers.directory(outcome, LogPosition.NONE), callback));
      case StoreRead.DirectoryChanges changes ->
          store.read(
              WireNames.RUNNERS_TOPIC,
              changes.from().offset(),
              0,
              reading(outcome -> StoreAnswers.directory(outcome, changes.from()), callback));
      case StoreRead.Nodes nodes ->
          store.readNewest(WireNames.NODES_TOPIC, reading(StoreAnswers::nodes, callback));
      case StoreRead.CrashRefusals refusals ->
          store.readNewest(
              WireNames.REFUSALS_TOPIC,
              reading(outcome -> StoreAnswers.refusals(outcome, wallClock.instant()), callback));
    }
  }

  private static Consumer<StoreClient.Outcome> reading(
      Function<StoreClient.Outcome, StoreAnswer> decoder, Consumer<StoreAnswer> callback) {
    return decoding(decoder, StoreAnswer.Failed::new, callback);
  }

  /** Completes a call with the decoded outcome, or as failed if decoding throws an exception. */
  private static <T> Consumer<StoreClient.Outcome> decoding(
      Function<StoreClient.Outcome, T> decoder, Function<String, T> failure, Consumer<T> callback) {
    return outcome -> {
      T answer;
      try {
        answer = decoder.apply(outcome);
      } catch (RuntimeException | StackOverflowError fault) {
        LOGGER.error("a response of the store cannot be decoded", fault);
        answer = failure.apply(fault.toString());
      }
      callback.accept(answer);
    };
  }

  // Lease and nodes

  @Override
  public void callLease(LeaseCall call, Consumer<LeaseAnswer> callback) {
    switch (call) {
      case LeaseCall.Read read ->
          store.read(
              WireNames.LEASE_TOPIC,
              read.from(),
              0,
              decoding(
                  outcome -> StoreAnswers.leaseRecords(outcome, read.from()),
                  LeaseAnswer.Failed::new,
                  callback));
      case LeaseCall.Append append -> {
        try {
          byte[] content = Codecs.json().writeValueAsBytes(append.record());
          store.append(
              WireNames.LEASE_TOPIC,
              append.at(),
              content,
              decoding(StoreAnswers::leaseAppended, LeaseAnswer.Failed::new, callback));
        } catch (IOException failure) {
          callback.accept(new LeaseAnswer.Failed(failure.toString()));
        }
      }
    }
  }

  @Override
  public void registerNode(NodeAddress address, Consumer<Boolean> callback) {
    writeKeyed(WireNames.NODES_TOPIC, address.node().value(), address, callback);
  }

  @Override
  public void saveRefusal(CrashRefusal refusal, Consumer<Boolean> callback) {
    StoredRefusal stored = StoredRefusal.of(refusal, wallClock.instant());
    writeKeyed(WireNames.REFUSALS_TOPIC, stored.key(), stored, callback);
  }

  private void writeKeyed(String topic, String key, Object value, Consumer<Boolean> callback) {
    try {
      byte[] content =
          WireRecords.encodeKeyed(key.getBytes(UTF_8), Codecs.json().writeValueAsBytes(value));
      store.append(
          topic,
          -1,
          content,
          outcome -> callback.accept(outcome instanceof StoreClient.Outcome.Appended));
    } catch (IOException failure) {
      LOGGER.error("the record {} of {} cannot be encoded", key, topic, failure);
      callback.accept(false);
    }
  }

  // Runners

  @Override
  public void sendOrder(
      GatewayEffect.SendOrder order,
      Consumer<RunnerNotification> notifications,
      BiConsumer<FleetOrderOutcome, String> callback) {
    try {
      OrderCall.create(
              http,
              URI.create("http://" + order.runner().address() + WireNames.ORDER_PATH),
              order,
              Codecs.json().writeValueAsBytes(orderBody(order)),
              (runner, timeoutMillis, done) ->
                  requestReport(runner, timeoutMillis, notifications, report -> done.run()),
              notifications,
              callback)
          .send();
    } catch (IOException | IllegalArgumentException unusable) {
      callback.accept(FleetOrderOutcome.UNREACHABLE, unusable.toString());
    }
  }

  private static Map<String, Object> orderBody(GatewayEffect.SendOrder order) {
    Map<String, Object> body = new LinkedHashMap<>();
    FleetOrder fleetOrder = order.order().order();
    boolean loads =
        fleetOrder instanceof FleetOrder.LoadModel || fleetOrder instanceof FleetOrder.LoadAdapter;
    body.put("operation", loads ? "model_load" : "model_unload");
    body.put("model", fleetOrder.model());
    if (fleetOrder instanceof FleetOrder.LoadAdapter adapter) {
      body.put("adapter", adapter.adapter());
    } else if (fleetOrder instanceof FleetOrder.UnloadAdapter adapter) {
      body.put("adapter", adapter.adapter());
    }
    body.put("expect", order.order().expectedOrderCount());
    body.put("holder", order.holder());
    body.put("fencing_token", order.fence());
    return body;
  }

  @Override
  public void requestReport(
      RunnerEntry runner,
      Consumer<RunnerNotification> notifications,
      Consumer<Optional<RunnerReport>> callback) {
    requestReport(runner, REPORT_TIMEOUT_MILLIS, notifications, callback);
  }

  private void requestReport(
      RunnerEntry runner,
      long timeoutMillis,
      Consumer<RunnerNotification> notifications,
      Consumer<Optional<RunnerReport>> callback) {
    http.newRequest("http://" + runner.address() + WireNames.REPORT_PATH)
        .headers(headers -> headers.put(WireNames.EXPECTED_RUNNER, runner.id()))
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::recordProgress)
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isSucceeded()) {
                  RunnerHeaders.notifications(runner.id(), result.getResponse())
                      .forEach(notifications);
                }
                callback.accept(decodeReport(runner, result, getContentAsString(UTF_8)));
              }
            });
  }

  private static Optional<RunnerReport> decodeReport(
      RunnerEntry runner, Result result, String body) {
    if (result.isFailed() || result.getResponse().getStatus() != 200) {
      return Optional.empty();
    }
    try {
      return Optional.of(WireDocuments.report(runner.id(), body));
    } catch (IOException malformed) {
      LOGGER.warn("ignoring a report of runner {} that cannot be decoded", runner.id(), malformed);
      return Optional.empty();
    }
  }
}
