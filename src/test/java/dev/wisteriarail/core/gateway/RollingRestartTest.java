package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that orders continue while all nodes are restarted one after the other, in virtual time.
 */
class RollingRestartTest {

  private static final Duration FIRST_RESTART = Duration.ofSeconds(15);
  private static final Duration RESTART_INTERVAL = Duration.ofMillis(1_200);
  private static final Duration END = Duration.ofSeconds(45);

  /** Gaps between orders last up to 0.7 s without a restart; a handover takes a few calls. */
  private static final Duration MAX_GAP = Duration.ofSeconds(1);

  enum Sequence {
    FIRST_NAME_FIRST,
    LAST_NAME_FIRST,
    MIXED
  }

  @ParameterizedTest
  @EnumSource
  void rollingRestartDoesNotStopOrders(Sequence sequence) {
    RollingFleet fleet = new RollingFleet(1);
    List<Integer> nodes =
        switch (sequence) {
          case FIRST_NAME_FIRST -> List.of(0, 1, 2, 3, 4, 5, 6, 7, 8);
          case LAST_NAME_FIRST -> List.of(8, 7, 6, 5, 4, 3, 2, 1, 0);
          case MIXED -> List.of(1, 4, 2, 3, 7, 8, 0, 5, 6);
        };
    Duration at = FIRST_RESTART;
    for (int node : nodes) {
      fleet.restartAt(at, node);
      at = at.plus(RESTART_INTERVAL);
    }
    fleet.run(END);
    fleet.checkHolders();
    assertWithMessage(fleet.summary(FIRST_RESTART))
        .that(fleet.longestGap(FIRST_RESTART))
        .isAtMost(MAX_GAP);
    if (sequence != Sequence.MIXED) {
      assertWithMessage(fleet.summary(FIRST_RESTART))
          .that(fleet.claims(FIRST_RESTART))
          .isLessThan(nodes.size() / 2);
    }
  }
}
