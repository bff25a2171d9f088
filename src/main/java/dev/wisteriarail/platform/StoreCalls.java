package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.gateway.GatewayHttp;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;

/**
 * The one client for the platform's metadata store: reads, newest records and conditional appends.
 *
 * <p>Every call is bounded in time; one that is not answered in time closes its connection, so that
 * the next call gets a new one. Thread-safe.
 */
final class StoreCalls {

  /** Longest answer, in bytes: above the store's limit for one read. */
  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** The store answers in milliseconds; a slow one in some hundred. */
  private static final long TIMEOUT_MILLIS = 900;

  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_CONDITION_FAILED = 412;

  private final HttpClient http;
  private final String address;

  StoreCalls(HttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /** Reads records from an offset on; waits for the first one if asked to. */
  void read(String topic, long from, long waitMillis, Consumer<Outcome> told) {
    String query = "?topic=" + topic + "&part=0&from=" + from;
    query += waitMillis > 0 ? "&wait_ms=" + waitMillis : "";
    Request request = http.newRequest("http://" + address + Names.READ + query);
    send(
        request,
        TIMEOUT_MILLIS + waitMillis,
        answer ->
            told.accept(
                answer.status() == STATUS_OK ? decodeBatch(answer.body()) : failure(answer)));
  }

  private static Outcome decodeBatch(byte[] body) {
    try {
      return new Outcome.Read(WireRecords.decode(body));
    } catch (IOException malformed) {
      return new Outcome.Failed("malformed answer: " + malformed.getMessage());
    }
  }

  /** Reads the newest record of each key, page by page. */
  void newest(String topic, Consumer<Outcome> told) {
    newestPage(topic, "", new ArrayList<>(), Long.MAX_VALUE, told);
  }

  private void newestPage(
      String topic,
      String after,
      List<WireRecords.Keyed> found,
      long firstEnd,
      Consumer<Outcome> told) {
    String query = "?topic=" + topic + "&part=0" + (after.isEmpty() ? "" : "&after=" + after);
    Request request = http.newRequest("http://" + address + Names.NEWEST + query);
    send(
        request,
        TIMEOUT_MILLIS,
        answer -> {
          if (answer.status() != STATUS_OK) {
            told.accept(failure(answer));
            return;
          }
          try {
            JsonNode page = Codecs.json().readTree(answer.body());
            String last = "";
            for (JsonNode item : page.path("items")) {
              last = item.path("key").asText();
              byte[] value = Base64.getDecoder().decode(item.path("value").asText());
              found.add(new WireRecords.Keyed(last, new String(value, UTF_8)));
            }
            // Pages are no snapshot: what changed since the first one is read again.
            long end = Math.min(firstEnd, page.path("end_offset").asLong());
            if (page.path("has_more").asBoolean() && !last.isEmpty()) {
              newestPage(topic, last, found, end, told);
            } else {
              told.accept(new Outcome.Newest(found, end));
            }
          } catch (IOException | IllegalArgumentException malformed) {
            told.accept(new Outcome.Failed("malformed answer: " + malformed.getMessage()));
          }
        });
  }

  /** Appends one record; under a condition if {@code at} is not negative. */
  void append(String topic, long at, byte[] content, Consumer<Outcome> told) {
    String query = "?topic=" + topic + "&part=0" + (at < 0 ? "" : "&at=" + at);
    Request request =
        http.POST("http://" + address + Names.APPEND + query)
            .body(new BytesRequestContent("application/octet-stream", WireRecords.encode(content)));
    send(
        request,
        TIMEOUT_MILLIS,
        answer -> {
          try {
            told.accept(
                switch (answer.status()) {
                  case STATUS_OK ->
                      new Outcome.Appended(
                          Codecs.json().readTree(answer.body()).path("offset").asLong());
                  case STATUS_CONDITION_FAILED ->
                      new Outcome.Overtaken(
                          Codecs.json().readTree(answer.body()).path("end_offset").asLong());
                  default -> failure(answer);
                });
          } catch (IOException malformed) {
            told.accept(new Outcome.Failed("malformed answer: " + malformed.getMessage()));
          }
        });
  }

  private static Outcome failure(Answer answer) {
    return answer.status() == STATUS_GONE
        ? new Outcome.Dropped(firstOffset(answer.body()))
        : new Outcome.Failed(
            answer.status() == 0 ? new String(answer.body(), UTF_8) : "status " + answer.status());
  }

  private static long firstOffset(byte[] body) {
    try {
      return Codecs.json().readTree(body).path("first_offset").asLong();
    } catch (IOException malformed) {
      // The caller then starts from the oldest record, which the store names in every read.
      return 0;
    }
  }

  /** Sends a request and tells its answer; status 0 stands for none, with the reason as body. */
  private static void send(Request request, long timeoutMillis, Consumer<Answer> told) {
    request
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::noteProgress)
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  String reason = String.valueOf(result.getFailure().getMessage());
                  told.accept(new Answer(0, reason.getBytes(UTF_8)));
                } else {
                  byte[] body = getContent();
                  told.accept(
                      new Answer(
                          result.getResponse().getStatus(), body == null ? new byte[0] : body));
                }
              }
            });
  }

  /** An answer of the store. */
  private static final class Answer {

    private final int status;
    private final byte[] body;

    Answer(int status, byte[] body) {
      this.status = status;
      this.body = body;
    }

    int status() {
      return status;
    }

    byte[] body() {
      return body;
    }
  }

  /** What became of a call. */
  sealed interface Outcome {

    /** Records were read. */
    record Read(WireRecords.Batch batch) implements Outcome {}

    /** The newest record of each key was read; later ones start at {@code end}. */
    record Newest(List<WireRecords.Keyed> records, long end) implements Outcome {}

    /** A record was appended. */
    record Appended(long offset) implements Outcome {}

    /** The condition of an append did not hold. */
    record Overtaken(long end) implements Outcome {}

    /** The records asked for are gone. */
    record Dropped(long first) implements Outcome {}

    /** Nothing was done, or it is not known. */
    record Failed(String reason) implements Outcome {}
  }
}
