package dev.wisteriarail.runtime;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an address in use is tried again for a limited time. */
final class ListenerBinderTest {

  private static final String HOST = "127.0.0.1";
  private static final int PORT = 7_070;
  private static final String ADDRESS = "127.0.0.1:7070";

  private final SteppedClock clock = new SteppedClock();
  private final List<NodeEvent> events = new ArrayList<>();
  private int cancelledAfter = Integer.MAX_VALUE;
  private final ListenerBinder binder =
      ListenerBinder.create(events::add, clock, clock, this::isCancelled);

  /** Fails the first attempts, as if another process had the address until then. */
  private static final class HeldAddress implements ListenerBinder.Opening {

    private int failuresLeft;
    private boolean opened;

    HeldAddress(int failures) {
      this.failuresLeft = failures;
    }

    @Override
    public void open() throws IOException {
      if (failuresLeft-- > 0) {
        throw new IOException("Failed to bind", new BindException("Address already in use"));
      }
      opened = true;
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 7, 49})
  void addressThatIsReleasedIsBound(int failures) throws SettingsException {
    HeldAddress held = new HeldAddress(failures);
    binder.open("gateway.callers", HOST, PORT, held);
    assertThat(held.opened).isTrue();
    assertThat(events.stream().map(NodeEvent::code).distinct().toList())
        .isEqualTo(failures == 0 ? List.of() : List.of(EventCode.ADDRESS_UNAVAILABLE));
    assertThat(events.stream().map(event -> event.fields().get("attempt")).toList())
        .isEqualTo(IntStream.rangeClosed(1, failures).mapToObj(Integer::toString).toList());
    events.forEach(event -> assertThat(event.fields()).containsEntry("address", ADDRESS));
  }

  @Test
  void addressThatIsHeldForGoodEndsTheStartWithAnErrorThatNamesIt() throws IOException {
    try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      SettingsException failure =
          assertThrows(
              SettingsException.class,
              () -> binder.openSocket("gateway.peers", HOST, holder.getLocalPort()));
      assertThat(failure.code()).isEqualTo(ResultCode.ADDRESS_UNAVAILABLE);
      assertThat(failure.describe())
          .startsWith("WR-3004 gateway.peers: cannot listen on 127.0.0.1:" + holder.getLocalPort());
      assertThat(waited()).isEqualTo(ListenerBinder.RETRY_LIMIT);
    }
  }

  @Test
  void listenersShareTheTimeLimit() throws SettingsException {
    binder.open("gateway.peers", HOST, PORT, new HeldAddress(30));
    HeldAddress second = new HeldAddress(30);
    assertThrows(SettingsException.class, () -> binder.open("gateway.callers", HOST, PORT, second));
    assertThat(waited()).isEqualTo(ListenerBinder.RETRY_LIMIT);
  }

  @Test
  void otherFailureIsNotTriedAgain() {
    ListenerBinder.Opening unresolved =
        () -> {
          throw new IOException("unresolved address");
        };
    assertThrows(
        SettingsException.class, () -> binder.open("gateway.callers", HOST, PORT, unresolved));
    assertThat(events).isEmpty();
    assertThat(waited()).isEqualTo(Duration.ZERO);
  }

  /** A node that was asked to stop must not accept callers whom it could not serve. */
  @Test
  void cancelledStartOpensNoListener() {
    HeldAddress held = new HeldAddress(4);
    cancelledAfter = 3;
    SettingsException failure =
        assertThrows(
            SettingsException.class, () -> binder.open("gateway.callers", HOST, PORT, held));
    assertThat(failure.code()).isEqualTo(ResultCode.START_CANCELLED);
    assertThat(held.opened).isFalse();
    assertThat(events).hasSize(3);
  }

  private boolean isCancelled() {
    return events.size() >= cancelledAfter;
  }

  private Duration waited() {
    return Duration.between(Instant.EPOCH, clock.instant());
  }
}
