package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.core.event.EventCode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Waits for events in the log of a node process. */
final class NodeEvents {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);
  private static final long POLL_NANOS = 5_000_000;

  private NodeEvents() {}

  /** Waits until a process has logged an event; fails if the process ends before. */
  static void await(NodeProcess node, EventCode event) throws IOException {
    long deadline = System.nanoTime() + TIME_LIMIT.toNanos();
    while (!node.log().contains(event)) {
      assertWithMessage("the process runs until event %s", event).that(node.isAlive()).isTrue();
      assertThat(System.nanoTime()).isLessThan(deadline);
      LockSupport.parkNanos(POLL_NANOS);
    }
  }
}
