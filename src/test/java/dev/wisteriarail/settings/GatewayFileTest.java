package dev.wisteriarail.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.forward.LoadBalance;
import dev.wisteriarail.core.gateway.RevocationRule;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.tenant.AllowanceLimits;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of a gateway node's settings: defaults, checks, and which changes need a restart. */
final class GatewayFileTest {

  private static final String TOML =
      """
      [node]
      id = "n1"
      failure_domain = "a"
      drain_limit_s = 8
      link_mbps = 200.0
      processor_share = 0.75
      processor_cores = 2
      [gateway]
      callers = "10.0.0.1:8149"
      balancer = "10.0.0.1:8141"
      peers = "10.0.0.1:8144"
      [store]
      address = "10.0.0.9:80"
      [retries]
      ratio = 0.2
      [load]
      urgent_queue = false
      """;

  private static GatewayFile parse(String toml) throws SettingsException {
    return GatewayFile.from(TomlDocument.parse("test", toml));
  }

  @Test
  void theAddressForPeersIsAnnouncedUnlessAnotherIsNamed() throws Exception {
    assertThat(parse(TOML).announced()).isEqualTo(new Endpoint("10.0.0.1", 8144));
    String other = TOML.replace("[store]", "announced = \"10.0.0.2:1\"\n[store]");
    assertThat(parse(other).announced()).isEqualTo(new Endpoint("10.0.0.2", 1));
  }

  /** Guards against a limit on held bytes where the settings do not ask for one. */
  @ParameterizedTest
  @CsvSource({
    "'', false, -1",
    "'[memory]', true, -1",
    "'[memory]\nenabled = true', true, -1",
    "'[memory]\nenabled = false\nheld_megabytes = 2', false, -1",
    "'[memory]\nheld_megabytes = 2', true, 2097152",
  })
  void tableOfMemoryTurnsTheLimitOn(String table, boolean on, long bytes) throws Exception {
    GatewayFile file = parse(TOML + table);
    assertThat(file.memory().isPresent()).isEqualTo(on);
    assertThat(file.memory().map(memory -> memory.heldBytes().orElse(-1)).orElse(-1L))
        .isEqualTo(bytes);
  }

  @Test
  void processorIsItsShareTimesItsSpeed() throws Exception {
    assertThat(parse(TOML).milliCores()).isEqualTo(1_500);
    assertThat(parse(TOML.replace("processor_share = 0.75", "")).milliCores()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({
    "ratio = 0.2, ratio = 0.3, retries.ratio, ''",
    "drain_limit_s = 8, drain_limit_s = 9, node.drain_limit_s, ''",
    "[store], '[tenants]\nrevoke_ms = 5000\n[store]', tenants.revoke_ms, ''",
    "[store], '[tenants]\nrevoke_fail_closed = true\n[store]', tenants.revoke_fail_closed, ''",
    "[store], '[tenants]\n[store]', '', ''",
    "urgent_queue = false, urgent_queue = true, load.urgent_queue, ''",
    "link_mbps = 200.0, link_mbps = 10.0, '', node",
    "processor_cores = 2, processor_cores = 1, '', node",
    "10.0.0.9:80, 10.0.0.9:81, '', store",
    "10.0.0.1:8149, 10.0.0.1:8150, '', gateway",
    "[retries], '[memory]\n[retries]', '', memory",
  })
  void changesAreNamed(String from, String to, String atOnce, String atNextStart) throws Exception {
    GatewayFile before = parse(TOML);
    GatewayFile after = parse(TOML.replace(from, to));
    assertThat(after.changedReloadableKeys(before)).isEqualTo(names(atOnce));
    assertThat(after.changedTablesRequiringRestart(before)).isEqualTo(names(atNextStart));
  }

  @Test
  void ruleThatSelectsRunnersIsReadAndChecked() throws Exception {
    assertThat(parse(TOML).balance()).isEqualTo(LoadBalance.DEFAULT);
    String even = TOML.replace("[load]", "[load]\nbalance = \"even\"");
    assertThat(parse(even).balance()).isEqualTo(LoadBalance.EVEN);
    assertThat(parse(even).changedTablesRequiringRestart(parse(TOML))).containsExactly("load");
    assertThat(parse(even.replace("even", "least")).balance()).isEqualTo(LoadBalance.LEAST);
    assertThrows(SettingsException.class, () -> parse(even.replace("even", "random")));
  }

  private static List<String> names(String text) {
    return Arrays.stream(text.split(" ")).filter(name -> !name.isEmpty()).toList();
  }

  @Test
  void missingAddressIsRefused() {
    assertThrows(SettingsException.class, () -> parse(TOML.replace("10.0.0.1:8149", "nowhere")));
  }

  /**
   * Guards against a template that leaves out the platform's bounds, or is no TOML without them.
   *
   * @param filled what stands for the bounds of tenants: their values, nothing, or the placeholders
   */
  @ParameterizedTest
  @CsvSource({
    "VALUES, 8, 0.1, 17000, true, 5000",
    "NONE, 8, 0, 0, false, 10000",
    "UNFILLED, 8, 0, 0, false, 10000"
  })
  void templateIsReadWithAndWithoutTheBoundsOfTenants(
      String filled, long window, double overage, double slack, boolean closed, long revokeMillis)
      throws Exception {
    String template = Files.readString(Path.of("deploy/node.toml"));
    Map<String, String> bounds =
        Map.of(
            "quota_window_s", "8",
            "quota_overage", "0.1",
            "quota_slack", "17000",
            "revoke_fail_closed", "true",
            "revoke_ms", "5000");
    if (!filled.equals("UNFILLED")) {
      for (Map.Entry<String, String> bound : bounds.entrySet()) {
        template =
            template.replace(
                "{{bounds." + bound.getKey() + "}}",
                filled.equals("VALUES") ? bound.getValue() : "");
      }
    }
    GatewayFile file = parse(fillOthers(template));
    assertThat(file.allowances())
        .isEqualTo(new AllowanceLimits(Duration.ofSeconds(window), overage, slack));
    assertThat(file.revocation())
        .isEqualTo(new RevocationRule(closed, Duration.ofMillis(revokeMillis)));
  }

  /** Fills in the placeholders that have a value on each installation. */
  private static String fillOthers(String template) {
    return template
        .replaceAll("seeds = .*", "seeds = []")
        .replaceAll("\\{\\{bounds\\.fencing_enforced}}", "true")
        .replaceAll("\\{\\{(listen\\.[a-z_]+|platform\\.address)}}", "10.0.0.1:8149")
        .replaceAll("\\{\\{ip}}", "10.0.0.1")
        .replaceAll("= \\{\\{[a-z_.]+}}", "= 1");
  }

  /** Guards against a bound of the platform that is unreadable and silently replaced. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "1x", "--1", "{{a}} 8", "[8]", "-1", "0x10", "1 2"})
  void unreadableBoundIsAnError(String value) {
    String table = "[allowances]\nslack = \"" + value + "\"";
    SettingsException failure = assertThrows(SettingsException.class, () -> parse(TOML + table));
    assertThat(failure).hasMessageThat().contains("allowances.slack");
  }
}
