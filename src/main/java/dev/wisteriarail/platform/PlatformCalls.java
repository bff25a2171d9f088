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
import dev.wisteriarail.core.gateway.GatewayEffect;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.gateway.StoreRead;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.gateway.GatewayHttp;
import dev.wisteriarail.gateway.PlatformClient;
import java.io.IOException;
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

/** The calls for control: the store, orders to runners, and their reports. Thread-safe. */
public final class PlatformCalls implements PlatformClient {

  private static final Logger LOGGER = LogManager.getLogger(PlatformCalls.class);

  /** Time for a runner to answer an order or a question; sound ones take milliseconds. */
  private static final long CONTROL_TIMEOUT_MILLIS = 500;

  private static final int MAX_ANSWER_BYTES = 1024 * 1024;

  private final StoreCalls store;
  private final HttpClient http;

  private PlatformCalls(HttpClient http, String storeAddress) {
    this.http = http;
    store = new StoreCalls(http, storeAddress);
  }

  /**
   * Returns the calls.
   *
   * @param http a started client
   * @param storeAddress address of the store, as host and port
   */
  public static PlatformCalls create(HttpClient http, String storeAddress) {
    return new PlatformCalls(http, storeAddress);
  }

  // Reads

  @Override
  public void read(StoreRead call, Consumer<StoreAnswer> told) {
    switch (call) {
      case StoreRead.NewestConfiguration newest ->
          store.newest(
              Names.OPERATOR_TOPIC,
              outcome -> told.accept(configuration(outcome, LogPosition.NONE)));
      case StoreRead.NextConfiguration next ->
          store.read(
              Names.OPERATOR_TOPIC,
              next.from().offset(),
              next.maxWait().toMillis(),
              outcome -> told.accept(configuration(outcome, next.from())));
      case StoreRead.WholeDirectory whole ->
          store.newest(
              Names.RUNNERS_TOPIC, outcome -> told.accept(directory(outcome, LogPosition.NONE)));
      case StoreRead.DirectoryChanges changes ->
          store.read(
              Names.RUNNERS_TOPIC,
              changes.from().offset(),
              0,
              outcome -> told.accept(directory(outcome, changes.from())));
      case StoreRead.Nodes nodes ->
          store.newest(Names.NODES_TOPIC, outcome -> told.accept(nodes(outcome)));
    }
  }

  private static StoreAnswer configuration(StoreCalls.Outcome outcome, LogPosition from) {
    List<WireRecords.Keyed> records = new ArrayList<>();
    LogPosition next;
    switch (outcome) {
      case StoreCalls.Outcome.Newest newest -> {
        records.addAll(newest.records());
        next = newest.end();
      }
      case StoreCalls.Outcome.Read read -> {
        read.batch().records().forEach(content -> addKeyed(content, records));
        next = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
      }
      default -> {
        return failure(outcome);
      }
    }
    Optional<GatewayConfiguration> newest = Optional.empty();
    for (WireRecords.Keyed each : records) {
      if (each.key().equals(Names.CONFIGURATION_KEY) && !each.value().isEmpty()) {
        try {
          newest = Optional.of(WireDocuments.configuration(each.value()));
        } catch (IOException malformed) {
          LOGGER.warn("a configuration cannot be read and is passed over", malformed);
        }
      }
    }
    return new StoreAnswer.ConfigurationRead(newest, next);
  }

  private static StoreAnswer directory(StoreCalls.Outcome outcome, LogPosition from) {
    return switch (outcome) {
      case StoreCalls.Outcome.Newest newest ->
          new StoreAnswer.DirectoryRead(
              change(true, LogPosition.of(newest.end().era(), 0), newest.end(), newest.records()));
      case StoreCalls.Outcome.Read read -> {
        List<WireRecords.Keyed> records = new ArrayList<>();
        read.batch().records().forEach(content -> addKeyed(content, records));
        LogPosition to = LogPosition.of(read.era(), from.offset() + read.batch().records().size());
        yield new StoreAnswer.DirectoryRead(change(false, from, to, records));
      }
      default -> failure(outcome);
    };
  }

  /** Of several records of a runner only the last one counts. */
  private static DirectoryChange change(
      boolean whole, LogPosition from, LogPosition to, List<WireRecords.Keyed> records) {
    Map<String, RunnerEntry> entries = new LinkedHashMap<>();
    Map<String, Boolean> removed = new LinkedHashMap<>();
    for (WireRecords.Keyed each : records) {
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

  private static void addKeyed(byte[] content, List<WireRecords.Keyed> records) {
    try {
      records.add(WireRecords.decodeKeyed(content));
    } catch (IOException malformed) {
      LOGGER.warn("a record without a key is passed over", malformed);
    }
  }

  private static StoreAnswer nodes(StoreCalls.Outcome outcome) {
    if (!(outcome instanceof StoreCalls.Outcome.Newest newest)) {
      return failure(outcome);
    }
    List<NodeAddress> nodes = new ArrayList<>();
    for (WireRecords.Keyed each : newest.records()) {
      try {
        nodes.add(Codecs.json().readValue(each.value(), NodeAddress.class));
      } catch (IOException malformed) {
        LOGGER.warn("the address of node {} cannot be read", each.key(), malformed);
      }
    }
    return new StoreAnswer.NodesRead(nodes, newest.end().era());
  }

  private static StoreAnswer failure(StoreCalls.Outcome outcome) {
    return switch (outcome) {
      case StoreCalls.Outcome.Dropped dropped ->
          new StoreAnswer.RecordsDropped(dropped.first().era());
      case StoreCalls.Outcome.Failed failed -> new StoreAnswer.Failed(failed.reason());
      default -> new StoreAnswer.Failed("unexpected answer");
    };
  }

  // Lease and nodes

  @Override
  public void lease(LeaseCall call, Consumer<LeaseAnswer> told) {
    switch (call) {
      case LeaseCall.Read read ->
          store.read(
              Names.LEASE_TOPIC,
              read.from(),
              0,
              outcome -> told.accept(leaseRecords(outcome, read.from())));
      case LeaseCall.Append append -> {
        try {
          byte[] content = Codecs.json().writeValueAsBytes(append.record());
          store.append(
              Names.LEASE_TOPIC,
              append.at(),
              content,
              outcome -> told.accept(leaseAppended(outcome)));
        } catch (IOException failure) {
          told.accept(new LeaseAnswer.Failed(failure.toString()));
        }
      }
    }
  }

  private static LeaseAnswer leaseRecords(StoreCalls.Outcome outcome, long from) {
    return switch (outcome) {
      case StoreCalls.Outcome.Read read -> {
        List<LeaseRecord> records = new ArrayList<>();
        for (byte[] content : read.batch().records()) {
          try {
            records.add(Codecs.json().readValue(content, LeaseRecord.class));
          } catch (IOException malformed) {
            LOGGER.warn("a record of the lease cannot be read", malformed);
            records.add(LeaseRecord.UNREADABLE);
          }
        }
        yield new LeaseAnswer.Records(
            LogPosition.of(read.era(), read.batch().end()), read.batch().first(), from, records);
      }
      case StoreCalls.Outcome.Dropped dropped ->
          new LeaseAnswer.Records(
              LogPosition.of(
                  dropped.first().era(), Math.max(from + 1, dropped.first().offset() + 1)),
              dropped.first().offset(),
              from,
              List.of());
      case StoreCalls.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected answer");
    };
  }

  private static LeaseAnswer leaseAppended(StoreCalls.Outcome outcome) {
    return switch (outcome) {
      case StoreCalls.Outcome.Appended appended -> new LeaseAnswer.Appended(appended.place());
      case StoreCalls.Outcome.Overtaken overtaken -> new LeaseAnswer.Conflict(overtaken.end());
      case StoreCalls.Outcome.Failed failed -> new LeaseAnswer.Failed(failed.reason());
      default -> new LeaseAnswer.Failed("unexpected answer");
    };
  }

  @Override
  public void register(NodeAddress address, Consumer<Boolean> told) {
    try {
      byte[] value = Codecs.json().writeValueAsBytes(address);
      byte[] content = WireRecords.keyed(address.node().value().getBytes(UTF_8), value);
      store.append(
          Names.NODES_TOPIC,
          -1,
          content,
          outcome -> told.accept(outcome instanceof StoreCalls.Outcome.Appended));
    } catch (IOException failure) {
      LOGGER.error("the node's address cannot be encoded", failure);
      told.accept(false);
    }
  }

  // Runners

  @Override
  public void order(
      GatewayEffect.SendOrder order,
      Consumer<RunnerNotification> words,
      BiConsumer<FleetOrderOutcome, String> told) {
    byte[] body;
    try {
      body = Codecs.json().writeValueAsBytes(orderBody(order));
    } catch (IOException failure) {
      told.accept(FleetOrderOutcome.UNREACHABLE, failure.toString());
      return;
    }
    AtomicBoolean sent = new AtomicBoolean();
    http.POST("http://" + order.runner().address() + Names.ORDER)
        .headers(headers -> headers.put(Names.EXPECTED_RUNNER, order.runner().id()))
        .body(new BytesRequestContent("application/json", body))
        .timeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::noteProgress)
        .onRequestBegin(begun -> sent.set(true))
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  told.accept(
                      sent.get() ? FleetOrderOutcome.UNKNOWN : FleetOrderOutcome.UNREACHABLE,
                      String.valueOf(result.getFailure().getMessage()));
                } else {
                  int status = result.getResponse().getStatus();
                  RunnerHeaders.words(order.runner().id(), result.getResponse()).forEach(words);
                  told.accept(outcome(status), status + " " + getContentAsString(UTF_8));
                }
              }
            });
  }

  private static Map<String, Object> orderBody(GatewayEffect.SendOrder order) {
    Map<String, Object> body = new LinkedHashMap<>();
    FleetOrder what = order.order().order();
    boolean loads = what instanceof FleetOrder.LoadModel || what instanceof FleetOrder.LoadAdapter;
    body.put("operation", loads ? "model_load" : "model_unload");
    body.put("model", what.model());
    if (what instanceof FleetOrder.LoadAdapter adapter) {
      body.put("adapter", adapter.adapter());
    } else if (what instanceof FleetOrder.UnloadAdapter adapter) {
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
      case 200 -> FleetOrderOutcome.ALREADY_DONE;
      case 409 -> FleetOrderOutcome.CONFLICT;
      case 412 -> FleetOrderOutcome.FENCED;
      case 400, 421 -> FleetOrderOutcome.REFUSED;
      default -> FleetOrderOutcome.UNKNOWN;
    };
  }

  @Override
  public void report(
      RunnerEntry runner,
      Consumer<RunnerNotification> words,
      Consumer<Optional<RunnerReport>> told) {
    http.newRequest("http://" + runner.address() + Names.REPORT)
        .headers(headers -> headers.put(Names.EXPECTED_RUNNER, runner.id()))
        .timeout(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::noteProgress)
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isSucceeded()) {
                  RunnerHeaders.words(runner.id(), result.getResponse()).forEach(words);
                }
                told.accept(decodeReport(runner, result, getContentAsString(UTF_8)));
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
      LOGGER.warn("the report of runner {} cannot be read", runner.id(), malformed);
      return Optional.empty();
    }
  }
}
