package dev.wisteriarail.audit;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import java.io.BufferedReader;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tells what became of a request from the structured logs of several nodes.
 *
 * <p>Besides the request's own lines it shows what the nodes believed about its runners and did
 * about its model at the time. Lines may have something before their JSON. Not thread-safe.
 */
public final class RequestTimeline {

  /** Time around a request in which lines about its runners and its model are shown. */
  private static final long CONTEXT_MILLIS = 5_000;

  private final List<LogLine> lines = new ArrayList<>();

  private RequestTimeline() {}

  /** Returns a story without lines. */
  public static RequestTimeline create() {
    return new RequestTimeline();
  }

  /** Takes the lines of one node's log, or of several nodes mixed. */
  public void read(BufferedReader log) throws IOException {
    String text = log.readLine();
    while (text != null) {
      add(text);
      text = log.readLine();
    }
  }

  private void add(String text) {
    int start = text.indexOf('{');
    if (start < 0) {
      return;
    }
    try {
      JsonNode root = Codecs.json().readTree(text.substring(start));
      JsonNode message = root.path("message");
      if (message.isObject() && message.has("event")) {
        Map<String, String> fields = new TreeMap<>();
        message.properties().forEach(each -> fields.put(each.getKey(), each.getValue().asText()));
        lines.add(new LogLine(root.path("time").asText(), fields));
      }
    } catch (IOException notJson) {
      // A log may hold lines of other programs; they tell nothing about a request.
      return;
    }
  }

  /**
   * Tells the story of a request in the order of time.
   *
   * @param request the caller's name of the request
   * @return one sentence a line; empty if no line names the request
   */
  public List<String> describe(String request) {
    List<LogLine> own =
        lines.stream().filter(line -> request.equals(line.fields().get("request"))).toList();
    if (own.isEmpty()) {
      return List.of();
    }
    Set<String> runners = values(own, "runner");
    Set<String> models = values(own, "model");
    String first = own.stream().map(LogLine::time).min(Comparator.naturalOrder()).orElseThrow();
    String last = own.stream().map(LogLine::time).max(Comparator.naturalOrder()).orElseThrow();
    return lines.stream()
        .filter(line -> own.contains(line) || isRelated(line, runners, models, first, last))
        .sorted(Comparator.comparing(LogLine::time))
        .map(LogLine::sentence)
        .toList();
  }

  private static Set<String> values(List<LogLine> own, String field) {
    Set<String> values = new HashSet<>();
    own.forEach(line -> values.add(line.fields().getOrDefault(field, "")));
    values.remove("");
    return values;
  }

  private static boolean isRelated(
      LogLine line, Set<String> runners, Set<String> models, String first, String last) {
    boolean near =
        millis(line.time()) >= millis(first) - CONTEXT_MILLIS
            && millis(line.time()) <= millis(last) + CONTEXT_MILLIS;
    if (!near || line.fields().containsKey("request")) {
      return false;
    }
    boolean ofRunner = runners.contains(line.fields().getOrDefault("runner", ""));
    String body = line.fields().getOrDefault("body", "");
    boolean ofModel = models.stream().anyMatch(body::contains);
    boolean ofFleet = line.fields().containsKey("dependency") || line.fields().containsKey("fence");
    return ofModel || ofRunner || (ofFleet && body.isEmpty());
  }

  private static long millis(String time) {
    return time.isEmpty() ? 0 : Instant.parse(time).toEpochMilli();
  }

  /**
   * One line of a log.
   *
   * @param time when it was written, in the form of the log
   * @param fields its fields
   */
  private record LogLine(String time, Map<String, String> fields) {

    String sentence() {
      StringBuilder text = new StringBuilder();
      text.append(time).append(' ').append(fields.getOrDefault("node", "?")).append(": ");
      text.append(fields.getOrDefault("title", "?"));
      fields.forEach(
          (name, value) -> {
            if (!Set.of("node", "title", "event", "request").contains(name)) {
              text.append(' ').append(name).append('=').append(value);
            }
          });
      return text.toString();
    }
  }
}
