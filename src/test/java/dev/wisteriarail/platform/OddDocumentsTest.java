package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import dev.wisteriarail.core.fleet.LeaseAnswer;
import dev.wisteriarail.core.fleet.LeaseRecord;
import dev.wisteriarail.core.fleet.RunnerEntry;
import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.EngineSpec;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.route.RouteSpec;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the decoding of documents that other writers, or operators by mistake, may have written.
 */
class OddDocumentsTest {

  private static final Instant NOW = Instant.EPOCH;

  // Directory

  static Stream<String> oddEntries() {
    return OddEntries.all().keySet().stream();
  }

  @ParameterizedTest
  @MethodSource("oddEntries")
  void oddEntryNamesNoRunner(String name) {
    assertThrows(IOException.class, () -> WireDocuments.runner("odd", OddEntries.all().get(name)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "a b", "a\r\nX-Other: 1", "é"})
  void identifierThatNoHeaderCanHoldNamesNoRunner(String id) {
    assertThrows(IOException.class, () -> WireDocuments.runner(id, entry("127.0.0.1:80", 1)));
  }

  @ParameterizedTest
  @CsvSource({
    "127.0.0.1:1, 127.0.0.1, 1",
    "10.1.2.3:65535, 10.1.2.3, 65535",
    "[::1]:80, [::1], 80",
    "[fd00::1:2]:80, [fd00::1:2], 80",
  })
  void usableAddressIsRead(String address, String host, int port) throws IOException {
    RunnerEntry entry = WireDocuments.runner("r", entry(address, 0));
    assertThat(entry.host()).isEqualTo(host);
    assertThat(entry.port()).isEqualTo(port);
    assertThat(entry.address()).isEqualTo(address);
  }

  private static String entry(String address, long slots) {
    return String.format(
        "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"a\",\"slots\":%d,\"state\":\"ready\"}",
        address, slots);
  }

  /** Unusable entries are passed to the core, so that it can log them. */
  @Test
  void unusableEntriesAreNamed() {
    StoreClient.Outcome outcome =
        new StoreClient.Outcome.Newest(
            List.of(
                new WireRecords.KeyedRecord("odd", "{"),
                new WireRecords.KeyedRecord("sound", entry("127.0.0.1:80", 1))),
            LogPosition.of(0, 9));
    StoreAnswer.DirectoryRead read =
        (StoreAnswer.DirectoryRead) StoreAnswers.directory(outcome, LogPosition.NONE);
    assertThat(read.unreadable()).containsExactly("odd", "not valid JSON");
    assertThat(read.change().entries().stream().map(RunnerEntry::id)).containsExactly("sound");
  }

  // Reports

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "7",
        "{\"sequence\":-1}",
        "{\"sequence\":9223372036854775808}",
        "{\"sequence\":1e400}",
        "{\"born\":18446744073709551616}",
        "{\"waiting\":4294967297}",
        "{\"running_count\":-1}",
        "{\"kv_cache_used\":\"7\"}",
        "{\"busy\":\"yes\"}",
        "{\"models\":7}",
        "{\"models\":{\"name\":\"m\"}}",
        "{\"models\":[7]}",
        "{\"models\":[{\"name\":\"m\",\"adapters\":\"a\"}]}",
        "{\"incoming\":[7]}"
      })
  void oddReportIsNotRead(String json) {
    assertThrows(IOException.class, () -> WireDocuments.report("r", json));
  }

  // Records of nodes

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "[]",
        "{}",
        "{\"holder\":\"n\"}",
        "{\"holder\":\"n\",\"kind\":\"SEIZE\"}",
        "{\"holder\":\"n\",\"kind\":\"RENEW\",\"fence\":-1}",
        "{\"holder\":\"n\",\"kind\":\"RENEW\",\"era\":-1}",
        "{\"holder\":\"n\",\"kind\":\"RENEW\",\"heldMillis\":-1}",
        "{\"holder\":\"n\",\"kind\":\"RENEW\",\"heldMillis\":9223372036854775807}",
        "{\"holder\":\"n\",\"kind\":\"RENEW\",\"fence\":1e400}",
        "{\"holder\":\"n\",\"kind\":\"RELEASE\",\"handover\":{}}",
        "{\"holder\":\"n\",\"kind\":\"RELEASE\",\"handover\":{\"runnerQuietMillis\":{\"r\":null},"
            + "\"loads\":{\"underWay\":[],\"storeLoadAgesMillis\":[]}}}"
      })
  void oddLeaseRecordCountsAsUnreadable(String json) {
    assertThat(leaseRecord(json)).isEqualTo(LeaseRecord.UNREADABLE);
  }

  /** A release of another writer must not stop orders for good. */
  @Test
  void pausesOfReleaseAreLimited() {
    LeaseRecord release =
        leaseRecord(
            "{\"holder\":\"n\",\"kind\":\"RELEASE\",\"handover\":{\"quietMillis\":"
                + Long.MAX_VALUE
                + ",\"runnerQuietMillis\":{\"r\":-5},"
                + "\"loads\":{\"underWay\":[],\"storeLoadAgesMillis\":[]}}}");
    assertThat(release.handover().orElseThrow().quietMillis()).isEqualTo(60_000);
    assertThat(release.handover().orElseThrow().runnerQuietMillis()).containsExactly("r", 0L);
  }

  private static LeaseRecord leaseRecord(String json) {
    WireRecords.Batch batch = new WireRecords.Batch(1, 0, List.of(json.getBytes(UTF_8)));
    LeaseAnswer answer = StoreAnswers.leaseRecords(new StoreClient.Outcome.Read(batch, 0), 0);
    return ((LeaseAnswer.Records) answer).records().getFirst();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "{}",
        "{\"traits\":[]}",
        "{\"traits\":[null]}",
        "{\"traits\":[\"t\"],\"untilMillis\":-9223372036854775808}",
        "{\"traits\":[\"t\"],\"untilMillis\":9,\"termMillis\":-1}",
        "{\"traits\":[\"t\"],\"untilMillis\":9223372036854775808}"
      })
  void oddRefusalRefusesNothing(String json) {
    StoreAnswer answer = StoreAnswers.refusals(newest(json), NOW);
    assertThat(((StoreAnswer.CrashRefusalsRead) answer).refusals()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "null",
        "{}",
        "{\"node\":\"n\",\"incarnation\":1,\"host\":\"10.0.0.1\",\"port\":0}",
        "{\"node\":\"n\",\"incarnation\":1,\"host\":\"10.0.0.1\",\"port\":65536}",
        "{\"node\":\"n\",\"incarnation\":1,\"host\":\"10.0.0.1\",\"port\":4294967297}",
        "{\"node\":\"n\",\"incarnation\":1,\"host\":\"\",\"port\":7070}",
        "{\"node\":\"n\",\"incarnation\":1,\"port\":7070}",
        "{\"incarnation\":1,\"host\":\"10.0.0.1\",\"port\":7070}",
        "{\"node\":\"n\",\"incarnation\":1,\"host\":\"10.0.0.1\",\"port\":7070,\"linkMbps\":-1}"
      })
  void oddNodeIsNoPeer(String json) {
    assertThat(((StoreAnswer.NodesRead) StoreAnswers.nodes(newest(json))).nodes()).isEmpty();
  }

  private static StoreClient.Outcome newest(String json) {
    return new StoreClient.Outcome.Newest(
        List.of(new WireRecords.KeyedRecord("key", json)), LogPosition.of(0, 1));
  }

  // Configuration

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0",
        "-1",
        "-9223372036854775808",
        "9223372036854775807",
        "1e400",
        "-1e400",
        "18446744073709551616",
        "1.5",
        "\"x\"",
        "null"
      })
  void numbersOfTheConfigurationAreLimited(String number) throws IOException {
    GatewayConfiguration configuration = WireDocuments.configuration(configuration(number));
    RouteSpec route = configuration.routes().getFirst();
    for (Duration time : List.of(route.timeout(), route.objective(), route.gapObjective())) {
      assertThat(time).isAtLeast(Duration.ZERO);
      assertThat(time).isAtMost(Duration.ofDays(1));
    }
    assertThat(route.rank()).isAtLeast(0);
    assertThat(route.maxRunners()).isAtLeast(1);
    assertThat(route.shares().getFirst().weight()).isAtLeast(0);
    assertThat(route.shares().getFirst().weight()).isAtMost(1_000_000);
    EngineSpec engine = configuration.engineOf("s").orElseThrow();
    assertThat(engine.slots()).isAtLeast(1);
    assertThat(engine.cacheTokens()).isAtLeast(0);
    assertThat(engine.adapterSlots()).isAtLeast(0);
    assertThat(engine.loadsPerSecond()).isAtLeast(0);
    assertThat(engine.loadsPerSecond()).isAtMost(1e12);
    assertThat(engine.models().getFirst().loadFromStore()).isAtMost(Duration.ofDays(1));
    assertThat(configuration.bounds().maxHeaderBytes()).isIn(Range.closed(1, 1024 * 1024));
    assertThat(configuration.bounds().maxBodyBytes()).isAtLeast(1);
    assertThat(configuration.bounds().idleTimeout()).isGreaterThan(Duration.ZERO);
    assertThat(configuration.bounds().headerTimeout()).isGreaterThan(Duration.ZERO);
  }

  private static String configuration(String number) {
    return String.join(
            "",
            "{\"version\":7,",
            "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",",
            "\"kind\":\"idempotent\",\"timeout_ms\":N,\"target_latency_ms\":N,",
            "\"gap_target_ms\":N,\"priority\":N,\"max_attempts\":N,",
            "\"split\":[{\"service\":\"s\",\"weight\":N},{\"service\":\"t\",\"weight\":N}]}],",
            "\"services\":[{\"name\":\"s\",\"max_connections\":N,\"engine\":{\"slots\":N,",
            "\"kv_cache_tokens\":N,\"weights_mb\":N,\"adapter_slots\":N,\"loads_per_s\":N,",
            "\"models\":[{\"name\":\"m\",\"weights_mb\":N,\"load_s\":N,\"adapters\":N,",
            "\"adapter_mb\":N}]}}],",
            "\"limits\":{\"max_header_bytes\":N,\"max_body_bytes\":N,",
            "\"header_timeout_ms\":N,\"idle_timeout_ms\":N}}")
        .replace("N", number);
  }

  @ParameterizedTest
  @ValueSource(strings = {"{\"version\":1e400}", "{\"version\":9223372036854775808}", "{}", "7"})
  void configurationWithoutVersionIsNotRead(String json) {
    assertThrows(IOException.class, () -> WireDocuments.configuration(json));
  }
}
