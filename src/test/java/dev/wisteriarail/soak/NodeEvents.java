package dev.wisteriarail.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import dev.wisteriarail.core.event.EventCode;
import java.time.Duration;

/** Waits for events in the log of a node process. */
final class NodeEvents {

  private static final Duration TIME_LIMIT = Duration.ofSeconds(60);

  private NodeEvents() {}

  /** Waits until a process has logged an event; fails if the process ends before. */
  static void await(NodeProcess node, EventCode event) throws Exception {
    assertWithMessage("the process logs event %s", event)
        .that(node.awaitEvent(event, TIME_LIMIT))
        .isTrue();
  }
}
