package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the times of a graceful shutdown in grace periods of different lengths. */
final class GracePeriodTest {

  @ParameterizedTest
  @CsvSource({
    // grace period, end of the requests, start and length of the final refusals
    "2000, 1750, 1828.125, 78.125",
    "4000, 3500, 3656.25, 156.25",
    "8000, 7200, 7450, 250",
    "30000, 29200, 29450, 250",
  })
  void timesOfTheEndAreInProportion(
      double graceMillis, double endMillis, double refusalMillis, double refusalTime) {
    GracePeriod period = new GracePeriod(millis(graceMillis));
    assertThat(period.length().minus(period.exitReserve())).isEqualTo(millis(endMillis));
    assertThat(period.finalRefusalStart()).isEqualTo(millis(refusalMillis));
    assertThat(period.finalRefusalTime()).isEqualTo(millis(refusalTime));
  }

  @ParameterizedTest
  @ValueSource(longs = {2, 4, 8, 30})
  void timesAreInOrder(long seconds) {
    GracePeriod period = new GracePeriod(Duration.ofSeconds(seconds));
    assertThat(
            List.of(
                period.balancerNoticeTime(),
                period.estimateCutoff(),
                period.length().multipliedBy(5).dividedBy(6),
                period.length().minus(period.exitReserve()),
                period.finalRefusalStart(),
                period.finalRefusalStart().plus(period.finalRefusalTime()),
                period.length()))
        .isInStrictOrder();
  }

  private static Duration millis(double millis) {
    return Duration.ofNanos(Math.round(millis * 1_000_000));
  }
}
