package dev.wisteriarail.platform;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests of requests that reach a real node late in its grace period, with a slow runner. */
final class LateInGraceNodeTest {

  private static final Duration GRACE = Duration.ofSeconds(8);

  /** Time after the stop request of the first and of the last late request. */
  private static final Duration FIRST_LATE = Duration.ofMillis(3_200);

  private static final Duration LAST_LATE = Duration.ofMillis(5_400);

  /** Times after the stop request of the requests that keep the node running. */
  private static final List<Duration> EARLY = List.of(Duration.ofSeconds(1), Duration.ofSeconds(2));

  private static final Duration INTERVAL = Duration.ofMillis(200);

  /** Less than the time limit of a request, which is 5 s. */
  private static final Duration SLOW_RUN = Duration.ofMillis(4_800);

  /** Run times known before the stop request; the slow run is not expected. */
  private static final int KNOWN_RUNS = 20;

  /**
   * Guards against orders that a stopping node accepts late and ends when it exits, because their
   * runner is slower than expected.
   */
  @Test
  void orderTakenLateIsAnsweredOrRefusedUnexecuted() throws Exception {
    AtomicInteger executions = new AtomicInteger();
    try (GatewayFleet fleet = GatewayFleet.startOne(GRACE);
        RawRunner runner = RawRunner.start(socket -> answer(socket, executions));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      fleet.platform().store().put("keyed.servers", "raw", runner.directoryEntry("plain"));
      fleet.await(() -> isServed(fleet));
      for (int i = 0; i < KNOWN_RUNS; i++) {
        assertThat(order(fleet)).isEqualTo(200);
      }
      Callable<Integer> call = () -> order(fleet);
      final Thread stopping = fleet.stopInBackground(0);
      final long stopped = System.nanoTime();
      executions.set(-1_000);
      List<Future<Integer>> early = new ArrayList<>();
      for (Duration at : EARLY) {
        sleepUntil(stopped, at);
        early.add(callers.submit(call));
      }
      sleepUntil(stopped, FIRST_LATE);
      final int executedBefore = executions.get();
      List<Future<Integer>> late = new ArrayList<>();
      for (Duration at = FIRST_LATE; at.compareTo(LAST_LATE) <= 0; at = at.plus(INTERVAL)) {
        sleepUntil(stopped, at);
        late.add(callers.submit(call));
      }
      int answered = 0;
      for (Future<Integer> each : late) {
        assertThat(each.get()).isAnyOf(200, 503);
        answered += each.get() == 200 ? 1 : 0;
      }
      assertThat(executions.get() - executedBefore).isEqualTo(answered);
      for (Future<Integer> each : early) {
        assertThat(each.get()).isAnyOf(200, 502, 504);
      }
      stopping.join();
    }
  }

  private static boolean isServed(GatewayFleet fleet) {
    try {
      return order(fleet) == 200;
    } catch (Exception failure) {
      throw new AssertionError(failure);
    }
  }

  private static int order(GatewayFleet fleet) throws Exception {
    HttpResponse<String> answer = fleet.send(0, "POST", "/order/1", "");
    return answer.statusCode();
  }

  /** Answers at once, or after {@link #SLOW_RUN} once the count is negative. */
  private static void answer(Socket socket, AtomicInteger executions)
      throws IOException, InterruptedException {
    String request = RawRunner.readRequest(RawRunner.reader(socket));
    if (request.isEmpty()) {
      return;
    }
    if (executions.incrementAndGet() < 0) {
      Thread.sleep(SLOW_RUN);
    }
    String head =
        "HTTP/1.1 200 OK\r\nX-Wisteriarail-Request-Id: "
            + request
            + "\r\nX-Wisteriarail-Response-Signature: s\r\nContent-Length: 5\r\n\r\nwhole";
    socket.getOutputStream().write(head.getBytes(US_ASCII));
    socket.getOutputStream().flush();
  }

  private static void sleepUntil(long start, Duration after) throws InterruptedException {
    Thread.sleep(Duration.ofNanos(Math.max(0, start + after.toNanos() - System.nanoTime())));
  }
}
