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
 * Reconstructs the history of a request from the structured event logs of several nodes.
 *
 * <p>Besides the lines of the request, it shows the lines of the same time about its runners, its
 * models and the state of the fleet. Text before the JSON of a line is ignored. Not thread-safe.
 */
public final class RequestTimeline {

  /** Time before and after a request within which related lines are shown. */
  private static final long CONTEXT_MILLIS = 5_000;

  private final List<LogLine> lines = new ArrayList<>();

  private RequestTimeline() {}

  /** Returns a timeline that has read no lines yet. */
  public static RequestTimeline create() {
    return new RequestTimeline();
  }

  /** Reads the lines of a log, which may mix the lines of several nodes. */
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
        message
            .properties()
            .forEach(field -> fields.put(field.getKey(), field.getValue().asText()));
        lines.add(new LogLine(root.path("time").asText(), fields));
      }
    } catch (IOException notJson) {
      // A log may contain lines of other programs, which are ignored.
      return;
    }
  }

  /**
   * Describes a request in chronological order.
   *
   * @param request the request's identifier, as the caller knows it
   * @return one text per line; empty if no line names the request
   */
  public List<String> describe(String request) {
    List<LogLine> requestLines =
        lines.stream().filter(line -> request.equals(line.fields().get("request"))).toList();
    if (requestLines.isEmpty()) {
      return List.of();
    }
    Set<String> runners = values(requestLines, "runner");
    Set<String> models = values(requestLines, "model");
    String first =
        requestLines.stream().map(LogLine::time).min(Comparator.naturalOrder()).orElseThrow();
    String last =
        requestLines.stream().map(LogLine::time).max(Comparator.naturalOrder()).orElseThrow();
    return lines.stream()
        .filter(
            line -> requestLines.contains(line) || isRelated(line, runners, models, first, last))
        .sorted(Comparator.comparing(LogLine::time))
        .map(LogLine::sentence)
        .toList();
  }

  private static Set<String> values(List<LogLine> requestLines, String field) {
    Set<String> values = new HashSet<>();
    requestLines.forEach(line -> values.add(line.fields().getOrDefault(field, "")));
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
    boolean aboutRunner = runners.contains(line.fields().getOrDefault("runner", ""));
    String body = line.fields().getOrDefault("body", "");
    boolean aboutModel = models.stream().anyMatch(body::contains);
    boolean aboutFleet =
        line.fields().containsKey("dependency") || line.fields().containsKey("fence");
    return aboutModel || aboutRunner || (aboutFleet && body.isEmpty());
  }

  private static long millis(String time) {
    return time.isEmpty() ? 0 : Instant.parse(time).toEpochMilli();
  }

  /**
   * A line of a log.
   *
   * @param time time of writing, as the log contains it
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
