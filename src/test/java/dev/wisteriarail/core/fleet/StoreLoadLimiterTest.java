package dev.wisteriarail.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Tests the limit for concurrent loads from the weight store. */
class StoreLoadLimiterTest {

  private static final Duration ALONE = Duration.ofSeconds(9);
  private static final Instant NOW = Instant.EPOCH.plusSeconds(60);

  /**
   * Guards against raising the limit too fast: four loads that ended together raised it by four,
   * and the next seven loads were slow.
   */
  @Test
  void loadsThatEndTogetherLetOneMoreBeTried() {
    StoreLoadLimiter loads = new StoreLoadLimiter();
    int first = loads.limit();
    for (int i = 0; i < first; i++) {
      loads.finish(ALONE, ALONE, first, NOW.plusMillis(100L * i));
    }
    assertThat(loads.limit()).isEqualTo(first + 1);
    loads.finish(ALONE, ALONE, first + 1, NOW.plusSeconds(10));
    assertThat(loads.limit()).isEqualTo(first + 2);
  }

  @Test
  void slowLoadsLowerItToWhatTheStoreServesAtFullSpeed() {
    StoreLoadLimiter loads = new StoreLoadLimiter();
    loads.finish(ALONE.multipliedBy(2), ALONE, 8, NOW);
    assertThat(loads.limit()).isEqualTo(4);
  }
}
