package dev.wisteriarail.fuzz;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DeterminismTest {

  private static final int STEPS = 60;

  @ParameterizedTest
  @ValueSource(longs = {1, 7})
  void sameSeedGivesSameRunBitByBit(long seed) {
    assertThat(digest(seed)).isEqualTo(digest(seed));
  }

  @Test
  void otherSeedGivesAnotherRun() {
    assertThat(digest(1)).isNotEqualTo(digest(2));
  }

  private static String digest(long seed) {
    return FuzzRun.execute(FuzzRun.plan(seed, STEPS), Defect.NONE).digest();
  }
}
