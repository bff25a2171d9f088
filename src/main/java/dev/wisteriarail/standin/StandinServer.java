package dev.wisteriarail.standin;

import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.http.HttpLimits;
import dev.wisteriarail.http.JettyServers;
import dev.wisteriarail.settings.Endpoint;
import java.io.IOException;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;

/**
 * An HTTP server for one stand-in that applies the stand-in's faults to each call.
 *
 * <p>{@code POST /faults} replaces the faults. Life cycle: {@link #start}, then {@link #close}.
 * Thread-safe.
 */
public final class StandinServer implements AutoCloseable {

  private static final HttpLimits LIMITS =
      new HttpLimits(
          64 * 1024 * 1024, 1024 * 1024, Duration.ofMinutes(1), Duration.ofMinutes(10), 1_000_000);

  /** Serves the calls of one stand-in. */
  @FunctionalInterface
  public interface CallHandler {

    /** Serves one call. */
    void handle(Call call) throws IOException, InterruptedException;
  }

  private final Server server;
  private final String host;
  private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);
  private final SplittableRandom random;

  private StandinServer(Server server, String host, long seed) {
    this.server = server;
    this.host = host;
    random = new SplittableRandom(seed);
  }

  /**
   * Starts a server.
   *
   * @param endpoint the endpoint to listen on
   * @param seed seed of the random choice of lost answers
   * @param handler handler of the calls
   * @throws SettingsException if the port cannot be bound
   */
  public static StandinServer start(Endpoint endpoint, long seed, CallHandler handler)
      throws SettingsException {
    Server jetty = JettyServers.create(endpoint.host(), endpoint.port(), LIMITS);
    StandinServer server = new StandinServer(jetty, endpoint.host(), seed);
    jetty.setHandler(server.new FaultyHandler(handler));
    try {
      jetty.start();
    } catch (Exception failure) {
      throw new SettingsException(
          ResultCode.SETTINGS_INVALID, "standin", "cannot listen on " + endpoint.port(), failure);
    }
    return server;
  }

  /** Returns the base address. */
  public String address() {
    return "http://" + authority();
  }

  /** Returns the address as host and port. */
  public String authority() {
    return host + ":" + JettyServers.port(server);
  }

  /** Returns the active faults. */
  public Faults faults() {
    return faults.get();
  }

  /** Replaces the faults. */
  public void setFaults(Faults newFaults) {
    faults.set(newFaults);
  }

  /** Returns whether the answer to the current call is to be lost after the call took effect. */
  public synchronized boolean shouldLoseAnswer() {
    double share = faults.get().loseAnswerShare();
    return share > 0 && random.nextDouble() < share;
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception failure) {
      LogManager.getLogger(StandinServer.class).warn("failed to stop a stand-in", failure);
    }
  }

  /** Applies the faults around the handler of a stand-in. */
  private final class FaultyHandler extends Handler.Abstract {

    private final CallHandler handler;

    private FaultyHandler(CallHandler handler) {
      this.handler = handler;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Call call = new Call(request, response);
      try {
        serve(call, callback);
      } catch (IOException | RuntimeException failure) {
        callback.failed(failure);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        callback.failed(interrupted);
      }
      return true;
    }

    private void serve(Call call, Callback callback) throws IOException, InterruptedException {
      if (call.path().equals("/faults")) {
        setFaults(call.body(Faults.class));
        call.reply(200, "ok\n");
        callback.succeeded();
        return;
      }
      Faults activeFaults = faults.get();
      if (activeFaults.down()) {
        throw new IOException("the stand-in is down");
      }
      if (activeFaults.delayMillis() > 0) {
        Thread.sleep(activeFaults.delayMillis());
      }
      handler.handle(call);
      if (!call.isAnswered()) {
        throw new IOException("the answer is lost");
      }
      callback.succeeded();
    }
  }
}
