package dev.wisteriarail.runtime;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Opens the listeners of a node that starts. An address that cannot be bound, because an earlier
 * process has not released it, is tried again for a limited time, which all listeners share.
 */
public final class ListenerBinder {

  /** Time between two attempts at an address. */
  static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

  /** Time after which no address is tried again. */
  static final Duration RETRY_LIMIT = Duration.ofSeconds(5);

  private final Consumer<NodeEvent> events;
  private final InstantSource clock;
  private final Pause pause;
  private final BooleanSupplier cancelled;
  private final Instant deadline;

  private ListenerBinder(
      Consumer<NodeEvent> events, InstantSource clock, Pause pause, BooleanSupplier cancelled) {
    this.events = events;
    this.clock = clock;
    this.pause = pause;
    this.cancelled = cancelled;
    this.deadline = clock.instant().plus(RETRY_LIMIT);
  }

  /**
   * Creates a binder whose time limit begins now.
   *
   * @param events receives an event for each failed attempt that is followed by another one
   * @param cancelled returns whether the start is cancelled, so that no listener is opened any more
   */
  public static ListenerBinder create(Consumer<NodeEvent> events, BooleanSupplier cancelled) {
    return create(events, MonotonicClock.start(), Thread::sleep, cancelled);
  }

  /** Creates a binder with a given clock and pause. */
  public static ListenerBinder create(
      Consumer<NodeEvent> events, InstantSource clock, Pause pause, BooleanSupplier cancelled) {
    return new ListenerBinder(events, clock, pause, cancelled);
  }

  /** Waits between two attempts. */
  public interface Pause {

    /** Waits for the given time. */
    void await(Duration duration) throws InterruptedException;
  }

  /** Opens a listener. */
  public interface Opening {

    /** Opens the listener, or fails without an effect. */
    void open() throws IOException;
  }

  /**
   * Returns a server socket that listens on an address.
   *
   * @param key the setting of the address
   * @throws SettingsException if the address cannot be bound
   */
  public ServerSocket openSocket(String key, String host, int port) throws SettingsException {
    ServerSocket[] opened = new ServerSocket[1];
    open(key, host, port, () -> opened[0] = newSocket(host, port));
    return opened[0];
  }

  private static ServerSocket newSocket(String host, int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    try {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(host, port));
      return socket;
    } catch (IOException failure) {
      socket.close();
      throw failure;
    }
  }

  /**
   * Opens a listener.
   *
   * @param key the setting of the address
   * @param opening opens the listener once
   * @throws SettingsException if the address cannot be bound or the start is cancelled
   */
  public void open(String key, String host, int port, Opening opening) throws SettingsException {
    String address = host + ":" + port;
    for (int attempt = 1; ; attempt++) {
      if (cancelled.getAsBoolean()) {
        throw new SettingsException(
            ResultCode.START_CANCELLED, key, "the process was asked to stop during its start");
      }
      try {
        opening.open();
        return;
      } catch (IOException failure) {
        if (!isBindFailure(failure) || clock.instant().plus(RETRY_INTERVAL).isAfter(deadline)) {
          throw unavailable(key, address, attempt, failure);
        }
        events.accept(
            NodeEvent.of(
                EventCode.ADDRESS_UNAVAILABLE,
                "setting",
                key,
                "address",
                address,
                "attempt",
                attempt,
                "reason",
                failure));
        awaitNextAttempt(key, address, attempt);
      }
    }
  }

  private static boolean isBindFailure(IOException failure) {
    return failure instanceof BindException || failure.getCause() instanceof BindException;
  }

  private void awaitNextAttempt(String key, String address, int attempt) throws SettingsException {
    try {
      pause.await(RETRY_INTERVAL);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw unavailable(key, address, attempt, interrupted);
    }
  }

  private static SettingsException unavailable(
      String key, String address, int attempts, Exception cause) {
    return new SettingsException(
        ResultCode.ADDRESS_UNAVAILABLE,
        key,
        "cannot listen on " + address + " after " + attempts + " attempts: " + cause,
        cause);
  }
}
