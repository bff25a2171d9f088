package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.gateway.StoreAnswer;
import dev.wisteriarail.core.id.LogPosition;
import dev.wisteriarail.core.route.GatewayConfiguration;
import dev.wisteriarail.core.tenant.Allowance;
import dev.wisteriarail.core.tenant.ApiKeyDigest;
import dev.wisteriarail.core.tenant.TenantFault;
import dev.wisteriarail.core.tenant.TenantSpec;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decoding of tenants, and that invalid ones are named without their keys. */
class TenantDocumentsTest {

  private static String configuration(String tenants) {
    return "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":" + tenants + "}";
  }

  @Test
  void tenantIsRead() throws IOException {
    GatewayConfiguration read =
        WireDocuments.configuration(
            configuration(
                """
                [{"name":"acme","api_keys":["k1","k2"],"priority":2,"unit":"token_streaming",
                  "plain_tokens":40,"rate_per_s":100.5,"burst":200},
                 {"name":"bulk"}]
                """));
    assertThat(read.tenants())
        .containsExactly(
            new TenantSpec(
                "acme",
                List.of(ApiKeyDigest.of("k1"), ApiKeyDigest.of("k2")),
                2,
                new Allowance(Allowance.Unit.TOKENS, 100.5, 200, 40)),
            new TenantSpec("bulk", List.of(), TenantSpec.ROUTE_RANK, Allowance.UNLIMITED))
        .inOrder();
    assertThat(read.tenants().stream().map(tenant -> tenant.rank(1)))
        .containsExactly(2, 1)
        .inOrder();
    assertThat(read.toString()).doesNotContain("k1");
  }

  /** Guards against a configuration that takes any key because it names no tenant. */
  @Test
  void emptyListOfTenantsRequiresKeysAndMissingOneDoesNot() throws IOException {
    assertThat(WireDocuments.configuration(configuration("[]")).requiresKeys()).isTrue();
    assertThat(
            WireDocuments.configuration("{\"version\":7,\"routes\":[],\"services\":[]}")
                .requiresKeys())
        .isFalse();
  }

  /** Guards against a value of the wrong type that opens a route or lets a stream run again. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "public|1",
        "public|\"true\"",
        "public|{}",
        "resumable|\"true\"",
        "sticky|1",
        "split|{\"service\":\"s\"}",
      })
  void valueOfWrongTypeInRouteIsAnError(String field, String value) {
    String route = "{\"name\":\"r\",\"kind\":\"idempotent\",\"" + field + "\":" + value + "}";
    assertThrows(
        IOException.class,
        () ->
            WireDocuments.configuration(
                "{\"version\":7,\"routes\":[" + route + "],\"services\":[]}"));
  }

  /** Guards against a bad configuration that comes into force, and against keys in the log. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{}|''",
        "null|''",
        "false|''",
        "\"\"|''",
        "[{\"name\":\"a\",\"api_keys\":null}]|a",
        "[{\"name\":\"a\",\"priority\":\"low\"}]|a",
        "[{\"name\":\"a\",\"rate_per_s\":null}]|a",
        "[{\"name\":\"a\",\"burst\":null}]|a",
        "[{\"name\":\"a\",\"unit\":null}]|a",
        "{\"name\":\"acme\"}|''",
        "[{\"api_keys\":[\"secret\"]}]|''",
        "[{\"name\":\"\",\"api_keys\":[\"secret\"]}]|''",
        "[{\"name\":\"a\\r\\nb\",\"api_keys\":[\"secret\"]}]|''",
        "[{\"name\":\"é\"}]|''",
        "[{\"name\":7}]|''",
        "[7]|''",
        "[{\"name\":\"a\"},{\"name\":\"a\",\"api_keys\":[\"secret\"]}]|a",
        "[{\"name\":\"a\",\"api_keys\":[\"secret\"]},{\"name\":\"b\",\"api_keys\":[\"secret\"]}]|b",
        "[{\"name\":\"a\",\"api_keys\":\"secret\"}]|a",
        "[{\"name\":\"a\",\"api_keys\":[\"secret\",7]}]|a",
        "[{\"name\":\"a\",\"api_keys\":[\" \"]}]|a",
        "[{\"name\":\"a\",\"api_keys\":[\"secret\"],\"rate_per_s\":-1}]|a",
        "[{\"name\":\"a\",\"burst\":-0.5}]|a",
        "[{\"name\":\"a\",\"burst\":1e400}]|a",
        "[{\"name\":\"a\",\"rate_per_s\":\"secret\"}]|a",
        "[{\"name\":\"a\",\"plain_tokens\":-1}]|a",
        "[{\"name\":\"a\",\"plain_tokens\":-0.25}]|a",
        "[{\"name\":\"a\",\"unit\":\"secret\"}]|a",
        "[{\"name\":\"a\",\"unit\":1}]|a",
        "[{\"name\":\"a\",\"api_keys\":[secret]}]|''",
        "[{\"name\":\"a\",\"api_keys\":[\"secret|''",
      })
  void invalidTenantsAreNamedWithoutKeys(String tenants, String name) {
    StoreClient.Outcome outcome =
        new StoreClient.Outcome.Newest(
            List.of(new WireRecords.KeyedRecord("config", configuration(tenants))),
            LogPosition.of(0, 9));
    StoreAnswer.ConfigurationRead read =
        (StoreAnswer.ConfigurationRead) StoreAnswers.configuration(outcome, LogPosition.NONE);
    assertThat(read.configuration()).isEmpty();
    assertThat(read.faults()).hasSize(1);
    TenantFault fault = read.faults().getFirst();
    assertThat(fault.tenant()).isEqualTo(name);
    assertThat(fault.reason()).doesNotContain("secret");
  }
}
