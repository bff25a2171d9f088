package dev.wisteriarail.platform;

import java.util.LinkedHashMap;
import java.util.Map;

/** Directory entries of other writers that describe no usable runner. */
final class OddEntries {

  private static final String[] FIELDS = {
    "service", "address", "zone", "slots", "state", "models", "sequence", "born"
  };

  private static final int NESTING = 100_000;
  private static final int WIDE_TEXT_LENGTH = 1_000_000;

  private OddEntries() {}

  /** Returns entries of the service of plain runners, by description. */
  static Map<String, String> all() {
    return ofService("plain");
  }

  /** Returns entries of a service, by description. */
  static Map<String, String> ofService(String service) {
    Map<String, String> odd = new LinkedHashMap<>();
    for (String port : new String[] {"0", "-1", "65536", "99999", "4294967297", "abc", "", " 80"}) {
      odd.put("port " + port, with(service, "address", text("127.0.0.1:" + port)));
    }
    for (String host :
        new String[] {
          "",
          "no-such-host.invalid",
          "localhost",
          "1.2.3",
          "256.1.1.1",
          "0.0.0.0",
          "224.0.0.1",
          "::1",
          "[::1",
          "[]",
          "[::g]",
          "[fe80::1%lo]",
          "127.0.0.1:80",
          "127.0.0.1/x",
          "a b",
          "é"
        }) {
      odd.put("host " + host, with(service, "address", text(host + ":8080")));
    }
    for (String number :
        new String[] {
          "1e400",
          "9223372036854775808",
          "18446744073709551616",
          "-1",
          "-1e400",
          "1.5",
          "\"7\"",
          "[1]",
          "{}",
          "true"
        }) {
      for (String field : new String[] {"slots", "born", "sequence"}) {
        odd.put(field + " " + number, with(service, field, number));
      }
    }
    odd.put("born far ahead", with(service, "born", "9223372036854775807"));
    odd.put("slots beyond an int", with(service, "slots", "4294967297"));
    for (String field : FIELDS) {
      odd.put(field + " is a truth value", with(service, field, "false"));
      odd.put(field + " is an object", with(service, field, "{\"a\":1}"));
    }
    for (String field : new String[] {"service", "address", "zone", "slots", "state"}) {
      odd.put(field + " is null", with(service, field, "null"));
      odd.put(field + " is a list", with(service, field, "[]"));
      odd.put(field + " is empty", with(service, field, "\"\""));
    }
    odd.put("other state", with(service, "state", "\"resting\""));
    odd.put("models of numbers", with(service, "models", "[1,2]"));
    odd.put("model without a name", with(service, "models", "[{\"adapters\":[]}]"));
    odd.put("model with a number as name", with(service, "models", "[{\"name\":7}]"));
    odd.put(
        "adapters of objects", with(service, "models", "[{\"name\":\"m0\",\"adapters\":[{}]}]"));
    odd.put("deep list", "[".repeat(NESTING) + "]".repeat(NESTING));
    odd.put("deep field", with(service, "models", "[".repeat(NESTING) + "]".repeat(NESTING)));
    odd.put("wide service", with(service, "service", text("w".repeat(WIDE_TEXT_LENGTH))));
    odd.put("wide address", with(service, "address", text("1".repeat(WIDE_TEXT_LENGTH))));
    odd.put("wide number", with(service, "born", "1".repeat(WIDE_TEXT_LENGTH)));
    odd.put("cut", with(service, "born", "1").substring(0, 40));
    odd.put("null", "null");
    odd.put("number", "7");
    odd.put("text", "\"ready\"");
    odd.put("list", "[]");
    odd.put("empty object", "{}");
    odd.put("blank", " ");
    odd.put("not text", String.valueOf(new char[] {0, 0xfffd, 1}));
    return odd;
  }

  private static String text(String value) {
    return "\"" + value + "\"";
  }

  /** Returns a sound entry whose address nobody listens at, with one field replaced. */
  private static String with(String service, String field, String value) {
    Map<String, String> entry = new LinkedHashMap<>();
    entry.put("service", text(service));
    entry.put("address", text("127.0.0.1:1"));
    entry.put("zone", text("a"));
    entry.put("slots", "1000");
    entry.put("state", text("ready"));
    entry.put("models", "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]");
    entry.put("sequence", "1");
    entry.put("born", "1");
    entry.put(field, value);
    StringBuilder json = new StringBuilder("{");
    entry.forEach(
        (name, content) -> {
          json.append(json.length() > 1 ? "," : "");
          json.append(text(name)).append(':').append(content);
        });
    return json.append('}').toString();
  }
}
