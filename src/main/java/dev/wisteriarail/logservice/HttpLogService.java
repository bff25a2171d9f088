package dev.wisteriarail.logservice;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.id.RecordId;
import dev.wisteriarail.core.log.AppendOutcome;
import dev.wisteriarail.core.log.LogRecord;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.spi.LogBatch;
import dev.wisteriarail.spi.LogService;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;

/** Accesses the platform's log over HTTP with Jetty's client. Thread-safe; calls block. */
public final class HttpLogService implements LogService {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_OK = 200;

  private final HttpClient http;
  private final String address;

  private HttpLogService(HttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /**
   * Returns a client.
   *
   * @param http a started HTTP client
   * @param address base address of the service
   */
  public static HttpLogService create(HttpClient http, String address) {
    return new HttpLogService(http, address);
  }

  @Override
  public AppendOutcome append(RecordId record, String writer, RecordBody body) {
    AtomicBoolean handedOver = new AtomicBoolean();
    try {
      LogRecord proposed = new LogRecord(-1, record, writer, body);
      ContentResponse response =
          http.POST(address + "/append")
              .onRequestBegin(begun -> handedOver.set(true))
              .body(
                  new StringRequestContent(
                      "application/json", Codecs.json().writeValueAsString(proposed), UTF_8))
              .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      if (response.getStatus() != STATUS_OK) {
        return new AppendOutcome.NotAppended("status " + response.getStatus());
      }
      return new AppendOutcome.Appended(Long.parseLong(response.getContentAsString().trim()));
    } catch (IOException | TimeoutException | ExecutionException failure) {
      return handedOver.get()
          ? new AppendOutcome.Unknown(failure.toString())
          : new AppendOutcome.NotAppended(failure.toString());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return new AppendOutcome.Unknown("interrupted");
    }
  }

  @Override
  public LogBatch read(long from, Duration wait) throws PlatformException {
    try {
      ContentResponse response =
          http.newRequest(address + "/read?from=" + from + "&wait_ms=" + wait.toMillis())
              .timeout(wait.plus(CALL_TIMEOUT).toMillis(), TimeUnit.MILLISECONDS)
              .send();
      if (response.getStatus() != STATUS_OK) {
        throw new PlatformException(
            ResultCode.LOG_READ_FAILED, address, "status " + response.getStatus());
      }
      return Codecs.json().readValue(response.getContent(), LogBatch.class);
    } catch (IOException | TimeoutException | ExecutionException failure) {
      throw new PlatformException(ResultCode.LOG_READ_FAILED, address, failure.toString(), failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new PlatformException(ResultCode.LOG_READ_FAILED, address, "interrupted");
    }
  }
}
