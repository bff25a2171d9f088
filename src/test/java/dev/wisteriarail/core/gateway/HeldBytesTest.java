package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests who yields as the account of held bytes fills. */
final class HeldBytesTest {

  private static final long LIMIT = 1_000;

  /** Guards against new requests taking the space of responses that have begun. */
  @ParameterizedTest
  @CsvSource({
    // bytes held for other requests and for streams, bytes of the new request, accepted
    "0, 0, 750, true",
    "700, 0, 50, true",
    "700, 0, 51, false",
    "0, 740, 11, false",
    "750, 0, 0, true",
    "751, 0, 0, false",
    // Nothing else is held, so waiting would not help this caller.
    "0, 0, 5000, true",
    "1, 0, 5000, false",
  })
  void newRequestIsRefusedWhileSpaceIsLeft(long bodies, long events, long bytes, boolean accepted) {
    HeldBytes account = HeldBytes.withLimit(LIMIT);
    account.open(HeldBytes.Kind.REQUEST_BODY).hold(bodies);
    account.open(HeldBytes.Kind.STREAM_EVENTS).hold(events);
    HeldBytes.Holding added = account.open(HeldBytes.Kind.REQUEST_BODY);
    assertThat(added.tryReserve(bytes)).isEqualTo(accepted);
    assertThat(account.refusals()).isEqualTo(accepted ? 0 : 1);
    assertThat(account.held(HeldBytes.Kind.REQUEST_BODY))
        .isEqualTo(bodies + (accepted ? bytes : 0));
  }

  /** Guards against one slow caller starving the others, and against an account without a bound. */
  @ParameterizedTest
  @CsvSource({
    // bytes of requests, of this stream and of another stream, whether this one may read on
    "0, 250, 0, true",
    "0, 251, 0, false",
    "600, 200, 0, true",
    "700, 180, 100, false",
    "700, 100, 180, true",
    "700, 140, 140, false",
    "1001, 0, 0, false",
    "800, 1, 200, false",
  })
  void largestStreamStopsFirst(long bodies, long bytes, long other, boolean readsOn) {
    HeldBytes account = HeldBytes.withLimit(LIMIT);
    account.open(HeldBytes.Kind.REQUEST_BODY).hold(bodies);
    account.open(HeldBytes.Kind.STREAM_EVENTS).hold(other);
    HeldBytes.Holding stream = account.open(HeldBytes.Kind.STREAM_EVENTS);
    stream.hold(bytes);
    assertThat(stream.mayReadOn()).isEqualTo(readsOn);
    assertThat(stream.mayReadOn()).isEqualTo(readsOn);
    assertThat(account.slowedStreams()).isEqualTo(readsOn ? 0 : 1);
  }

  /** Guards against buffered responses that wait for each other's bytes forever. */
  @Test
  void bufferedResponsesExceedTheLimitOneByOne() {
    HeldBytes account = HeldBytes.withLimit(LIMIT);
    List<HeldBytes.Holding> responses = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      responses.add(account.open(HeldBytes.Kind.BUFFERED_RESPONSE));
      responses.get(i).hold(LIMIT);
    }
    assertThat(responses.stream().map(HeldBytes.Holding::mayReadOn).toList())
        .containsExactly(true, false, false)
        .inOrder();
    responses.get(0).close();
    assertThat(responses.get(0).mayReadOn()).isTrue();
    assertThat(responses.get(2).mayReadOn()).isTrue();
    assertThat(responses.get(1).mayReadOn()).isFalse();
    responses.get(2).close();
    assertThat(account.pressure()).isEqualTo(1.0);
    assertThat(responses.get(1).mayReadOn()).isTrue();
  }

  /** Guards against bytes that arrive after the end of a response being counted forever. */
  @ParameterizedTest
  @EnumSource(HeldBytes.Kind.class)
  void closedHolderHoldsNothing(HeldBytes.Kind kind) {
    HeldBytes account = HeldBytes.withLimit(LIMIT);
    HeldBytes.Holding holding = account.open(kind);
    holding.hold(100);
    holding.release(30);
    assertThat(account.held(kind)).isEqualTo(70);
    holding.close();
    holding.hold(5);
    holding.release(70);
    holding.close();
    assertThat(account.held(kind)).isEqualTo(0);
    assertThat(account.pressure()).isEqualTo(0.0);
  }

  /** Guards against deployments without a limit being served differently. */
  @Test
  void withoutLimitNothingIsRefusedAndNoStreamIsReadAhead() {
    HeldBytes account = HeldBytes.countOnly(LIMIT);
    account.open(HeldBytes.Kind.BUFFERED_RESPONSE).hold(1L << 40);
    assertThat(account.open(HeldBytes.Kind.REQUEST_BODY).tryReserve(1L << 40)).isTrue();
    assertThat(account.open(HeldBytes.Kind.BUFFERED_RESPONSE).mayReadOn()).isTrue();
    assertThat(account.open(HeldBytes.Kind.STREAM_EVENTS).mayReadOn()).isFalse();
    assertThat(account.refusals() + account.slowedStreams()).isEqualTo(0);
  }

  /** Guards against updates by several threads being lost. */
  @Test
  void concurrentHoldersLeaveNothingBehind() throws Exception {
    HeldBytes account = HeldBytes.withLimit(LIMIT);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      threads.add(Thread.startVirtualThread(() -> holdAndRelease(account)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(account.held(HeldBytes.Kind.STREAM_EVENTS)).isEqualTo(0);
    assertThat(account.pressure()).isEqualTo(0.0);
  }

  private static void holdAndRelease(HeldBytes account) {
    for (int i = 0; i < 1_000; i++) {
      try (HeldBytes.Holding holding = account.open(HeldBytes.Kind.STREAM_EVENTS)) {
        holding.hold(i);
        holding.release(i / 2);
      }
    }
  }
}
