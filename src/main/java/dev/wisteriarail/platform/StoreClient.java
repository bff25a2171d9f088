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
 * Client for the platform's metadata store: reads records, reads the newest record of each key, and
 * appends records, optionally under a condition.
 *
 * <p>Every call has a timeout. A call that times out closes its connection, so that the next call
 * uses another one. Thread-safe.
 */
final class StoreClient {

  /** Maximum size of a response, in bytes; above the store's own limit for one read. */
  private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  /** The store responds within milliseconds, or a few hundred if it is slow. */
  private static final long TIMEOUT_MILLIS = 900;

  /** The era assumed if the store's response names none. */
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

  /**
   * Reads the records from an offset.
   *
   * @param waitMillis how long the store waits for the first record; 0 not to wait
   */
  void read(String topic, long from, long waitMillis, Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0&from=" + from;
    query += waitMillis > 0 ? "&wait_ms=" + waitMillis : "";
    Request request = http.newRequest("http://" + address + WireNames.LOG_READ_PATH + query);
    send(
        request,
        TIMEOUT_MILLIS + waitMillis,
        response ->
            callback.accept(
                response.status() == STATUS_OK ? decodeBatch(response) : failure(response)));
  }

  private static Outcome decodeBatch(StoreResponse response) {
    try {
      return new Outcome.Read(WireRecords.decode(response.body()), response.era());
    } catch (IOException malformed) {
      return new Outcome.Failed("malformed response: " + malformed.getMessage());
    }
  }

  /** Reads the newest record of each key, in pages. */
  void readNewest(String topic, Consumer<Outcome> callback) {
    readNewestPage(topic, "", new ArrayList<>(), LogPosition.NONE, callback);
  }

  private void readNewestPage(
      String topic,
      String after,
      List<WireRecords.KeyedRecord> found,
      LogPosition earliestEnd,
      Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0" + (after.isEmpty() ? "" : "&after=" + after);
    Request request = http.newRequest("http://" + address + WireNames.LOG_NEWEST_PATH + query);
    send(
        request,
        TIMEOUT_MILLIS,
        response -> {
          if (response.status() != STATUS_OK) {
            callback.accept(failure(response));
            return;
          }
          try {
            JsonNode page = Codecs.json().readTree(response.body());
            String last = "";
            for (JsonNode item : page.path("items")) {
              last = item.path("key").asText();
              byte[] value = Base64.getDecoder().decode(item.path("value").asText());
              found.add(new WireRecords.KeyedRecord(last, new String(value, UTF_8)));
            }
            LogPosition pageEnd = LogPosition.of(response.era(), page.path("end_offset").asLong());
            if (earliestEnd.known() && !earliestEnd.sameEra(pageEnd)) {
              callback.accept(new Outcome.Failed("the store's era changed between two pages"));
              return;
            }
            // The pages are not one snapshot. The smallest end is returned, so that the next read
            // includes every change made since the first page.
            LogPosition end =
                earliestEnd.known() && earliestEnd.before(pageEnd) ? earliestEnd : pageEnd;
            if (page.path("has_more").asBoolean() && !last.isEmpty()) {
              readNewestPage(topic, last, found, end, callback);
            } else {
              callback.accept(new Outcome.Newest(found, end));
            }
          } catch (IOException | IllegalArgumentException malformed) {
            callback.accept(new Outcome.Failed("malformed response: " + malformed.getMessage()));
          }
        });
  }

  /**
   * Appends one record.
   *
   * @param expectedEnd the offset at which the record must be appended; negative for any
   */
  void append(String topic, long expectedEnd, byte[] content, Consumer<Outcome> callback) {
    String query = "?topic=" + topic + "&part=0" + (expectedEnd < 0 ? "" : "&at=" + expectedEnd);
    Request request =
        http.POST("http://" + address + WireNames.LOG_APPEND_PATH + query)
            .body(new BytesRequestContent("application/octet-stream", WireRecords.encode(content)));
    send(
        request,
        TIMEOUT_MILLIS,
        response -> {
          try {
            callback.accept(
                switch (response.status()) {
                  case STATUS_OK -> new Outcome.Appended(response.position("offset"));
                  case STATUS_CONDITION_FAILED ->
                      new Outcome.Conflict(response.position("end_offset"));
                  default -> failure(response);
                });
          } catch (IOException malformed) {
            callback.accept(new Outcome.Failed("malformed response: " + malformed.getMessage()));
          }
        });
  }

  private static Outcome failure(StoreResponse response) {
    return response.status() == STATUS_GONE
        ? new Outcome.Dropped(firstOffset(response))
        : new Outcome.Failed(
            response.status() == 0
                ? new String(response.body(), UTF_8)
                : "status " + response.status());
  }

  private static LogPosition firstOffset(StoreResponse response) {
    try {
      return response.position("first_offset");
    } catch (IOException malformed) {
      // The caller then reads from the oldest record, whose offset the store returns in each read.
      return LogPosition.of(response.era(), 0);
    }
  }

  /**
   * Sends a request. If there is no response, the callback receives one with status 0 and the
   * reason as its body.
   */
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

  /** A response of the store. */
  private static final class StoreResponse {

    private final int status;
    private final byte[] body;
    private final long era;

    StoreResponse(int status, byte[] body, long era) {
      this.status = status;
      this.body = body;
      this.era = era;
    }

    /**
     * Creates a response. Without a valid era its log positions are unusable, so a response with an
     * invalid era is treated like a missing one, with status 0.
     */
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
        // Handled below like a number that is out of range.
      }
      return new StoreResponse(0, ("invalid era of the store: " + text).getBytes(UTF_8), NO_ERA);
    }

    long era() {
      return era;
    }

    /** Returns the log position whose offset is in a field of the body. */
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

  /** Outcome of a call. */
  sealed interface Outcome {

    /** Records were read. */
    record Read(WireRecords.Batch batch, long era) implements Outcome {}

    /** The newest record of each key was read; reading of changes continues at {@code end}. */
    record Newest(List<WireRecords.KeyedRecord> records, LogPosition end) implements Outcome {}

    /** A record was appended. */
    record Appended(LogPosition position) implements Outcome {}

    /** The append was rejected because the topic ends at another offset than the expected one. */
    record Conflict(LogPosition end) implements Outcome {}

    /** The requested records were removed; the oldest one retained is at {@code first}. */
    record Dropped(LogPosition first) implements Outcome {}

    /** The call failed; whether it took effect may be unknown. */
    record Failed(String reason) implements Outcome {}
  }
}
