package dev.wisteriarail.platform;

import java.util.Locale;
import java.util.Set;

/** Headers, paths and topics of the platform's HTTP interfaces. */
final class WireNames {

  static final String REQUEST_ID = "X-Wisteriarail-Request-Id";
  static final String DEADLINE = "X-Wisteriarail-Deadline-Ms";
  static final String MODEL = "X-Wisteriarail-Model";
  static final String TOKENS = "X-Wisteriarail-Token-Usage";
  static final String PROMPT_PARTS = "X-Wisteriarail-Prompt-Prefix";
  static final String EXPECTED_RUNNER = "X-Wisteriarail-Expected-Instance";
  static final String SIGNATURE = "X-Wisteriarail-Response-Signature";
  static final String NOT_EXECUTED = "X-Wisteriarail-Not-Executed";
  static final String TENANT = "X-Wisteriarail-Tenant";
  static final String PRIORITY = "X-Wisteriarail-Request-Priority";
  static final String RUNNER_ID = "X-Wisteriarail-Instance-Id";
  static final String LEAVING = "Server-Leaving";
  static final String LAST_EVENT = "Last-Event-Id";
  static final String STORE_ERA = "Store-Era";

  static final String READINESS_PATH = "/wisteriarail/readiness";
  static final String ORDER_PATH = "/wisteriarail/order";
  static final String REPORT_PATH = "/wisteriarail/report";
  static final String LOG_APPEND_PATH = "/wisteriarail/log-append";
  static final String LOG_READ_PATH = "/wisteriarail/log-read";
  static final String LOG_NEWEST_PATH = "/wisteriarail/log-newest";

  static final String OPERATOR_TOPIC = "keyed.op";
  static final String CONFIGURATION_KEY = "config";
  static final String RUNNERS_TOPIC = "keyed.servers";
  static final String REFUSALS_TOPIC = "keyed.wisteriarail-refusals";
  static final String NODES_TOPIC = "keyed.wisteriarail-nodes";
  static final String LEASE_TOPIC = "wisteriarail-orders";

  /** Headers that only the system may set; those sent by a caller are not forwarded. */
  private static final Set<String> SYSTEM_HEADERS =
      Set.of(
          "x-wisteriarail-deadline-ms",
          "x-wisteriarail-expected-instance",
          "x-wisteriarail-expected-version",
          "x-wisteriarail-request-priority",
          "x-wisteriarail-queue-hold",
          "x-wisteriarail-pin-ms",
          "x-wisteriarail-kv-backup",
          "x-wisteriarail-kv-from",
          "x-wisteriarail-kv-fetch",
          "kv-from",
          "kv-fetch");

  /** Headers by which a runner may tell one caller from another. */
  private static final Set<String> CALLER_HEADERS =
      Set.of("authorization", "cookie", "x-wisteriarail-tenant");

  /** Headers that apply to a single connection and are not forwarded. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect",
          "host");

  private WireNames() {}

  static boolean isSystemHeader(String name) {
    return SYSTEM_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  static boolean isCallerHeader(String name) {
    return CALLER_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  static boolean isHopByHopHeader(String name) {
    return HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }
}
