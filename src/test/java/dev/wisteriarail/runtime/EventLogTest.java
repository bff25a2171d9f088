package dev.wisteriarail.runtime;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.core.event.EventCode;
import dev.wisteriarail.core.event.LogRateLimiter;
import dev.wisteriarail.core.event.NodeEvent;
import dev.wisteriarail.core.id.NodeId;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.message.StringMapMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of the event log: the limit on the rate of lines, and an output that stalls. */
class EventLogTest {

  private static final Instant START = Instant.EPOCH;

  @ParameterizedTest
  @EnumSource(
      value = EventCode.class,
      names = {"FORWARD_SENT", "FORWARD_REFUSED", "RUNNER_EJECTED"})
  void nextLineTellsHowManyWereLeftOut(EventCode event) {
    LogRateLimiter rateLimiter = LogRateLimiter.create();
    int written = 0;
    for (int i = 0; i < 1_000; i++) {
      written += rateLimiter.admit(event, 0, START).isPresent() ? 1 : 0;
    }
    assertThat(written).isLessThan(1_000);
    assertThat(rateLimiter.admit(event, 0, START.plusSeconds(1)))
        .isEqualTo(OptionalLong.of(1_000 - written));
  }

  @Test
  void linesOfServedRequestsAreLeftOutBeforeThoseOfFailedOnes() {
    LogRateLimiter rateLimiter = LogRateLimiter.create();
    assertThat(rateLimiter.admit(EventCode.FORWARD_ANSWERED, 0.6, START))
        .isEqualTo(OptionalLong.empty());
    assertThat(rateLimiter.admit(EventCode.FORWARD_REFUSED, 0.6, START))
        .isEqualTo(OptionalLong.of(0));
    assertThat(rateLimiter.unreportedOmissions()).containsExactly(EventCode.FORWARD_ANSWERED, 1L);
  }

  @Test
  void stalledOutputDelaysNoWriter() throws InterruptedException {
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch reached = new CountDownLatch(1);
    List<String> lines = new CopyOnWriteArrayList<>();
    EventLog log =
        EventLog.start(
            NodeId.of("n"),
            message -> {
              reached.countDown();
              awaitQuietly(stalled);
              lines.add(((StringMapMessage) message).get("event"));
            },
            InstantSource.fixed(START));
    log.write(NodeEvent.of(EventCode.FORWARD_REFUSED, "request", "r"));
    reached.await();
    for (int i = 0; i < 20_000; i++) {
      log.write(NodeEvent.of(EventCode.FORWARD_REFUSED, "request", "r" + i));
    }
    assertThat(lines).isEmpty();
    stalled.countDown();
    log.close();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
