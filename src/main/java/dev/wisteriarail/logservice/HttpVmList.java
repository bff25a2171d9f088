package dev.wisteriarail.logservice;

import com.fasterxml.jackson.core.type.TypeReference;
import dev.wisteriarail.codec.Codecs;
import dev.wisteriarail.core.membership.VmEntry;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.spi.VmList;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;

/** Reads the platform's VM list over HTTP with Jetty's client. Thread-safe; calls block. */
public final class HttpVmList implements VmList {

  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final int STATUS_OK = 200;

  private final HttpClient http;
  private final String address;

  private HttpVmList(HttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /**
   * Returns a client.
   *
   * @param http a started HTTP client
   * @param address base address of the service
   */
  public static HttpVmList create(HttpClient http, String address) {
    return new HttpVmList(http, address);
  }

  @Override
  public List<VmEntry> read() throws PlatformException {
    try {
      ContentResponse response =
          http.newRequest(address + "/nodes")
              .timeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
              .send();
      if (response.getStatus() != STATUS_OK) {
        throw unavailable("status " + response.getStatus(), null);
      }
      return Codecs.json().readValue(response.getContent(), new TypeReference<List<VmEntry>>() {});
    } catch (IOException | TimeoutException | ExecutionException failure) {
      throw unavailable(failure.toString(), failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw unavailable("interrupted", interrupted);
    }
  }

  private PlatformException unavailable(String reason, Exception cause) {
    return new PlatformException(ResultCode.VM_LIST_UNAVAILABLE, address, reason, cause);
  }
}
