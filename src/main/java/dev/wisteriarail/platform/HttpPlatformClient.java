package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.fleet.DirectoryChange;
import dev.wisteriarail.core.fleet.FleetOrder;
import dev.wisteriarail.core.fleet.FleetOrderOutcome;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseCall;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.NodeAddress;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.fleet.RunnerNotification;
import dev.wisteriarail.core.fleet.RunnerReport;
import dev.wisteriarail.core.forward.CrashRefusal;
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.gateway.GatewayHttp;
import dev.wisteriarail.gateway.PlatformClient;
import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/**
 * HTTP client for control calls: reads and writes of the store, orders to runners, and requests for
 * their reports. Thread-safe.
 */
public final class HttpPlatformClient implements PlatformClient {

  private static final Logger LOGGER = LogManager.getLogger(HttpPlatformClient.class);

  /** Timeout of an order or a report request; a healthy runner responds within milliseconds. */
  private static final long CONTROL_TIMEOUT_MILLIS = 500;

  private static final int MAX_ANSWER_BYTES = 1024 * 1024;

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
              outcome -> callback.accept(toConfigurationAnswer(outcome, LogPosition.NONE)));
      case StoreRead.NextConfiguration next ->
          store.read(
              WireNames.OPERATOR_TOPIC,
              next.from().offset(),
              next.maxWait().toMillis(),
              outcome -> callback.accept(toConfigurationAnswer(outcome, next.from())));
      case StoreRead.WholeDirectory whole ->
          store.readNewest(
              WireNames.RUNNERS_TOPIC,
              outcome -> callback.accept(toDirectoryAnswer(outcome, LogPosition.NONE)));
      case StoreRead.DirectoryChanges changes ->
          store.read(
              WireNames.RUNNERS_TOPIC,
              changes.from().offset(),
              0,
              outcome -> callback.accept(toDirectoryAnswer(outcome, changes.from())));
      case StoreRead.Nodes nodes ->
          store.readNewest(
              WireNames.NODES_TOPIC, outcome -> callback.accept(toNodesAnswer(outcome)));
      case StoreRead.CrashRefusals refusals ->
          store.readNewest(
              WireNames.REFUSALS_TOPIC, outcome -> callback.accept(toRefusalsAnswer(outcome)));
    }
  }

  private static StoreAnswer toConfigurationAnswer(StoreClient.Outcome outcome, LogPosition from) {
    List<WireRecords.KeyedRecord> records = new ArrayList<>();
    LogPosition next;
    switch (outcome) {
      case StoreClient.Outcome.Newest newest -> {
        records.addAll(newest.records());
        next = newest.end();
      }
      case StoreClient.Outcome.Read read -> {
        read.batch().records().forEach(content -> decodeInto(content, records));
        next = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
      }
      default -> {
        return failure(outcome);
      }
    }
    Optional<GatewayConfiguration> newest = Optional.empty();
    for (WireRecords.KeyedRecord each : records) {
      if (each.key().equals(WireNames.CONFIGURATION_KEY) && !each.value().isEmpty()) {
        try {
          newest = Optional.of(WireDocuments.configuration(each.value()));
        } catch (IOException malformed) {
          LOGGER.warn("ignoring a configuration that cannot be decoded", malformed);
        }
      }
    }
    return new StoreAnswer.ConfigurationRead(newest, next);
  }

  private static StoreAnswer toDirectoryAnswer(StoreClient.Outcome outcome, LogPosition from) {
    return switch (outcome) {
      case StoreClient.Outcome.Newest newest ->
          new StoreAnswer.DirectoryRead(
              toDirectoryChange(
                  true, LogPosition.of(newest.end().era(), 0), newest.end(), newest.records()));
      case StoreClient.Outcome.Read read -> {
        List<WireRecords.KeyedRecord> records = new ArrayList<>();
        read.batch().records().forEach(content -> decodeInto(content, records));
        LogPosition to = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
        yield new StoreAnswer.DirectoryRead(toDirectoryChange(false, from, to, records));
      }
      default -> failure(outcome);
    };
  }

  /** Builds a directory change in which the last of several records of a runner wins. */
  private static DirectoryChange toDirectoryChange(
      boolean whole, LogPosition from, LogPosition to, List<WireRecords.KeyedRecord> records) {
    Map<String, RunnerEntry> entries = new LinkedHashMap<>();
    Map<String, Boolean> removed = new LinkedHashMap<>();
    for (WireRecords.KeyedRecord each : records) {
      if (each.value().isEmpty()) {
        entries.remove(each.key());
        removed.put(each.key(), true);
        continue;
      }
      WireDocuments.runner(each.key(), each.value())
          .ifPresent(
              entry -> {
                entries.put(each.key(), entry);
                removed.remove(each.key());
              });
    }
    return new DirectoryChange(
        whole, from, to, List.copyOf(entries.values()), List.copyOf(removed.keySet()));
  }

  private static void decodeInto(byte[] content, List<WireRecords.KeyedRecord> records) {
    try {
      records.add(WireRecords.decodeKeyed(content));
    } catch (IOException malformed) {
      LOGGER.warn("ignoring a record whose key cannot be decoded", malformed);
    }
  }

  private static StoreAnswer toNodesAnswer(StoreClient.Outcome outcome) {
    if (!(outcome instanceof StoreClient.Outcome.Newest newest)) {
      return failure(outcome);
    }
    List<NodeAddress> nodes = new ArrayList<>();
    for (WireRecords.KeyedRecord each : newest.records()) {
      try {
        nodes.add(Codecs.json().readValue(each.value(), NodeAddress.class));
      } catch (IOException malformed) {
        LOGGER.warn(
            "ignoring the address of node {}, which cannot be decoded", each.key(), malformed);
      }
    }
    return new StoreAnswer.NodesRead(nodes, newest.end().era());
  }

  private StoreAnswer toRefusalsAnswer(StoreClient.Outcome outcome) {
    if (!(outcome instanceof StoreClient.Outcome.Newest newest)) {
      return failure(outcome);
    }
    List<CrashRefusal> refusals = new ArrayList<>();
    for (WireRecords.KeyedRecord each : newest.records()) {
      try {
        CrashRefusal refusal =
            Codecs.json()
                .readValue(each.value(), StoredRefusal.class)
                .toRefusal(wallClock.instant());
        if (refusal.remainingMillis() > 0) {
          refusals.add(refusal);
        }
      } catch (IOException malformed) {
        LOGGER.warn("ignoring the refusal {}, which cannot be decoded", each.key(), malformed);
      }
    }
    return new StoreAnswer.CrashRefusalsRead(refusals, newest.end().era());
  }

  private static StoreAnswer failure(StoreClient.Outcome outcome) {
    return switch (outcome) {
      case StoreClient.Outcome.Dropped dropped ->
          new StoreAnswer.RecordsDropped(dropped.first().era());
      case StoreClient.Outcome.Failed failed -> new StoreAnswer.Failed(failed.reason());
      default -> new StoreAnswer.Failed("unexpected response");
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
              outcome -> callback.accept(leaseRecords(outcome, read.from())));
      case LeaseCall.Append append -> {
        try {
          byte[] content = Codecs.json().writeValueAsBytes(append.record());
          store.append(
              WireNames.LEASE_TOPIC,
              append.at(),
              content,
              outcome -> callback.accept(leaseAppended(outcome)));
        } catch (IOException failure) {
          callback.accept(new LeaseAnswer.Failed(failure.toString()));
        }
      }
    }
  }

  private static LeaseAnswer leaseRecords(StoreClient.Outcome outcome, long from) {
    return switch (outcome) {
      case StoreClient.Outcome.Read read -> {
        List<LeaseRecord> records = new ArrayList<>();
        for (byte[] content : read.batch().records()) {
          try {
            records.add(Codecs.json().readValue(content, LeaseRecord.class));
          } catch (IOException malformed) {
            LOGGER.warn("a lease record cannot be decoded", malformed);
            records.add(LeaseRecord.UNREADABLE);
          }
        }
        yield new LeaseAnswer.Records(
            LogPosition.of(read.era(), read.batch().endOffset()),
            read.batch().firstOffset(),
            from,
            records);
      }
      case StoreClient.Outcome.Dropped dropped ->
          new LeaseAnswer.Records(
              LogPosition.of(
                  dropped.first().era(), Math.max(from + 1, dropped.first().offset() + 1)),
              dropped.first().offset(),
              from,
              List.of());
      case StoreClient.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected response");
    };
  }

  private static LeaseAnswer leaseAppended(StoreClient.Outcome outcome) {
    return switch (outcome) {
      case StoreClient.Outcome.Appended appended -> new LeaseAnswer.Appended(appended.position());
      case StoreClient.Outcome.Conflict conflict -> new LeaseAnswer.Conflict(conflict.end());
      case StoreClient.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected response");
    };
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
    byte[] body;
    try {
      body = Codecs.json().writeValueAsBytes(orderBody(order));
    } catch (IOException failure) {
      callback.accept(FleetOrderOutcome.UNREACHABLE, failure.toString());
      return;
    }
    AtomicBoolean sent = new AtomicBoolean();
    http.POST("http://" + order.runner().address() + WireNames.ORDER_PATH)
        .headers(headers -> headers.put(WireNames.EXPECTED_RUNNER, order.runner().id()))
        .body(new BytesRequestContent("application/json", body))
        .timeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::recordProgress)
        .onRequestBegin(begun -> sent.set(true))
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
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

  @Override
  public void requestReport(
      RunnerEntry runner,
      Consumer<RunnerNotification> notifications,
      Consumer<Optional<RunnerReport>> callback) {
    http.newRequest("http://" + runner.address() + WireNames.REPORT_PATH)
        .headers(headers -> headers.put(WireNames.EXPECTED_RUNNER, runner.id()))
        .timeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
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
