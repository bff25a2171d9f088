package dev.wisteriarail.standin;

import java.util.List;

/**
 * Directory entries that no sound runner writes: cut or deeply nested JSON, other types, numbers
 * out of range, and addresses that lead nowhere. Stateless.
 */
public final class OddEntries {

  private static final int DEPTH = 3_000;

  private static final List<String> ENTRIES =
      List.of(
          "{",
          "{\"service\":\"plain\",\"address\":\"127.0.0.1:",
          "null",
          "[]",
          "17",
          "\"entry\"",
          "{}",
          "[".repeat(DEPTH) + "]".repeat(DEPTH),
          withModels("[".repeat(DEPTH) + "]".repeat(DEPTH)),
          withModels("{}"),
          withModels("[{\"name\":7,\"adapters\":\"a0\"}]"),
          withAddress("\"127.0.0.1:0\""),
          withAddress("\"127.0.0.1:-1\""),
          withAddress("\"127.0.0.1:99999\""),
          withAddress("\"127.0.0.1\""),
          withAddress("\"no host name:80\""),
          withAddress("\":80\""),
          withAddress("\"\""),
          withAddress("null"),
          withAddress("[\"127.0.0.1\",80]"),
          withNumbers("1e400", "1", "1"),
          withNumbers("18446744073709551616", "1", "1"),
          withNumbers("-1", "1", "1"),
          withNumbers("8", "1e400", "1"),
          withNumbers("8", "-1", "1"),
          withNumbers("8", "1", "1e400"),
          withNumbers("8", "1", "18446744073709551616"),
          withNumbers("\"8\"", "true", "{}"));

  private OddEntries() {}

  /** Returns the number of odd entries. */
  public static int count() {
    return ENTRIES.size();
  }

  /** Returns an odd entry as text. */
  static String entry(int number) {
    return ENTRIES.get(number);
  }

  private static String withModels(String models) {
    return describe("\"127.0.0.1:9\"", models, "8", "1", "1");
  }

  private static String withAddress(String address) {
    return describe(address, "[]", "8", "1", "1");
  }

  private static String withNumbers(String slots, String born, String sequence) {
    return describe("\"127.0.0.1:9\"", "[]", slots, born, sequence);
  }

  private static String describe(
      String address, String models, String slots, String born, String sequence) {
    return ("{\"service\":\"plain\",\"address\":%s,\"models\":%s,\"slots\":%s,\"born\":%s,"
            + "\"sequence\":%s,\"zone\":\"a\",\"version\":\"v1\",\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"available\":{\"in_memory\":[],\"on_disk\":[]}}")
        .formatted(address, models, slots, born, sequence);
  }
}
