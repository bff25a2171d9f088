package dev.wisteriarail.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.id.LogPosition;
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
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;

/**
 * The one client for the platform's metadata store: reads, newest records and conditional appends.
 *
 * <p>Every call is bounded in time; one that is not answered in time closes its connection, so that
 * the next call gets a new one. Thread-safe.
 */
final class StoreClient {

  /** Longest answer, in bytes: above the store's limit for one read. */
  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** The store answers in milliseconds; a slow one in some hundred. */
  private static final long TIMEOUT_MILLIS = 900;

  /** The era of a store that names none. */
  private static final long NO_ERA = 0;

  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_CONDITION_FAILED = 412;

  private final HttpClient http;
  private final String address;

  StoreClient(HttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /** Reads records from an offset on; waits for the first one if asked to. */
  void read(String topic, long from, long waitMillis, Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0&from=" + from;
    query += waitMillis > 0 ? "&wait_ms=" + waitMillis : "";
    Request request = http.newRequest("http://" + address + WireNames.LOG_READ_PATH + query);
    send(
        request,
        TIMEOUT_MILLIS + waitMillis,
        answer ->
            callback.accept(answer.status() == STATUS_OK ? decodeBatch(answer) : failure(answer)));
  }

  private static Outcome decodeBatch(StoreResponse answer) {
    try {
      return new Outcome.Read(WireRecords.decode(answer.body()), answer.era());
    } catch (IOException malformed) {
      return new Outcome.Failed("malformed answer: " + malformed.getMessage());
    }
  }

  /** Reads the newest record of each key, page by page. */
  void readNewest(String topic, Consumer<Outcome> callback) {
    readNewestPage(topic, "", new ArrayList<>(), LogPosition.NONE, callback);
  }

  private void readNewestPage(
      String topic,
      String after,
      List<WireRecords.KeyedRecord> found,
      LogPosition firstEnd,
      Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0" + (after.isEmpty() ? "" : "&after=" + after);
    Request request = http.newRequest("http://" + address + WireNames.LOG_NEWEST_PATH + query);
    send(
        request,
        TIMEOUT_MILLIS,
        answer -> {
          if (answer.status() != STATUS_OK) {
            callback.accept(failure(answer));
            return;
          }
          try {
            JsonNode page = Codecs.json().readTree(answer.body());
            String last = "";
            for (JsonNode item : page.path("items")) {
              last = item.path("key").asText();
              byte[] value = Base64.getDecoder().decode(item.path("value").asText());
              found.add(new WireRecords.KeyedRecord(last, new String(value, UTF_8)));
            }
            LogPosition pageEnd = LogPosition.of(answer.era(), page.path("end_offset").asLong());
            if (firstEnd.known() && !firstEnd.sameEra(pageEnd)) {
              callback.accept(new Outcome.Failed("the store's era changed between two pages"));
              return;
            }
            // Pages are no snapshot: what changed since the first one is read again.
            LogPosition end = firstEnd.known() && firstEnd.before(pageEnd) ? firstEnd : pageEnd;
            if (page.path("has_more").asBoolean() && !last.isEmpty()) {
              readNewestPage(topic, last, found, end, callback);
            } else {
              callback.accept(new Outcome.Newest(found, end));
            }
          } catch (IOException | IllegalArgumentException malformed) {
            callback.accept(new Outcome.Failed("malformed answer: " + malformed.getMessage()));
          }
        });
  }

  /** Appends one record; under a condition if {@code at} is not negative. */
  void append(String topic, long expectedEnd, byte[] content, Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0" + (expectedEnd < 0 ? "" : "&at=" + expectedEnd);
    Request request =
        http.POST("http://" + address + WireNames.LOG_APPEND_PATH + query)
            .body(new BytesRequestContent("application/octet-stream", WireRecords.encode(content)));
    send(
        request,
        TIMEOUT_MILLIS,
        answer -> {
          try {
            callback.accept(
                switch (answer.status()) {
                  case STATUS_OK -> new Outcome.Appended(answer.position("offset"));
                  case STATUS_CONDITION_FAILED ->
                      new Outcome.Conflict(answer.position("end_offset"));
                  default -> failure(answer);
                });
          } catch (IOException malformed) {
            callback.accept(new Outcome.Failed("malformed answer: " + malformed.getMessage()));
          }
        });
  }

  private static Outcome failure(StoreResponse answer) {
    return answer.status() == STATUS_GONE
        ? new Outcome.Dropped(firstOffset(answer))
        : new Outcome.Failed(
            answer.status() == 0 ? new String(answer.body(), UTF_8) : "status " + answer.status());
  }

  private static LogPosition firstOffset(StoreResponse answer) {
    try {
      return answer.position("first_offset");
    } catch (IOException malformed) {
      // The caller then starts from the oldest record, which the store names in every read.
      return LogPosition.of(answer.era(), 0);
    }
  }

  /** Sends a request and tells its answer; status 0 stands for none, with the reason as body. */
  private static void send(Request request, long timeoutMillis, Consumer<StoreResponse> callback) {
    request
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .onResponseHeaders(GatewayHttp::recordProgress)
        .send(
            new BufferingResponseListener(MAX_ANSWER_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (result.isFailed()) {
                  String reason = String.valueOf(result.getFailure().getMessage());
                  callback.accept(new StoreResponse(0, reason.getBytes(UTF_8), NO_ERA));
                } else {
                  callback.accept(StoreResponse.of(result.getResponse(), getContent()));
                }
              }
            });
  }

  /** An answer of the store. */
  private static final class StoreResponse {

    private final int status;
    private final byte[] body;
    private final long era;

    StoreResponse(int status, byte[] body, long era) {
      this.status = status;
      this.body = body;
      this.era = era;
    }

    /** An answer whose era cannot be read says nothing of places and counts as none. */
    static StoreResponse of(Response response, byte[] content) {
      String text = response.getHeaders().get(WireNames.STORE_ERA);
      byte[] body = content == null ? new byte[0] : content;
      if (text == null) {
        return new StoreResponse(response.getStatus(), body, NO_ERA);
      }
      try {
        long era = Long.parseLong(text.trim());
        if (era >= 0 && era <= LogPosition.MAX_ERA) {
          return new StoreResponse(response.getStatus(), body, era);
        }
      } catch (NumberFormatException malformed) {
        // The same as a number out of bounds.
      }
      return new StoreResponse(0, ("unusable era of the store: " + text).getBytes(UTF_8), NO_ERA);
    }

    long era() {
      return era;
    }

    /** Returns the place whose offset the answer gives in a field. */
    LogPosition position(String field) throws IOException {
      return LogPosition.of(era, Codecs.json().readTree(body).path(field).asLong());
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
    record Read(WireRecords.Batch batch, long era) implements Outcome {}

    /** The newest record of each key was read; later ones start at {@code end}. */
    record Newest(List<WireRecords.KeyedRecord> records, LogPosition end) implements Outcome {}

    /** A record was appended. */
    record Appended(LogPosition position) implements Outcome {}

    /** The condition of an append did not hold. */
    record Conflict(LogPosition end) implements Outcome {}

    /** The records asked for are gone. */
    record Dropped(LogPosition first) implements Outcome {}

    /** Nothing was done, or it is not known. */
    record Failed(String reason) implements Outcome {}
  }
}
