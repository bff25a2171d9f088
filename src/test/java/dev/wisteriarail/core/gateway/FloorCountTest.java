package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests that the floors are never divided by too few nodes. */
class FloorCountTest {

  private final FloorCount count = FloorCount.create();
  private Instant now = Instant.EPOCH.plusSeconds(1_000);

  private int after(Duration time, int known, boolean hasCoordinator) {
    now = now.plus(time);
    count.update(known, hasCoordinator, Duration.ofSeconds(1), now);
    return count.nodes();
  }

  /** Guards against a started node that knows its seeds only and takes a large floor. */
  @Test
  void isUnknownUntilTheListWasRead() {
    assertThat(after(Duration.ZERO, 3, true)).isEqualTo(0);
    count.markComplete();
    assertThat(after(Duration.ZERO, 66, true)).isEqualTo(66);
  }

  /** Guards against a node that is cut off, forgets its peers and takes the whole floor. */
  @Test
  void fallsOnlyWhileCoordinatorIsKnown() {
    count.markComplete();
    assertThat(after(Duration.ZERO, 66, true)).isEqualTo(66);
    assertThat(after(Duration.ofHours(1), 1, false)).isEqualTo(66);
    assertThat(after(Duration.ofMinutes(5), 33, true)).isEqualTo(66);
    assertThat(after(Duration.ofMinutes(5), 33, true)).isEqualTo(33);
  }
}
