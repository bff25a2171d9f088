package dev.wisteriarail.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests who is served and who is refused while more requests arrive than can be served. */
final class FairQueueingTest {

  private static final Duration PATIENCE = Duration.ofSeconds(2);
  private static final int SERVICE_MILLIS = 400;
  private static final int TOKENS = 1_000;

  /** Requests per second that a number of runners can serve. */
  private static double capacity(int runners) {
    return runners * QueueSimulation.SLOTS * 1_000.0 / SERVICE_MILLIS;
  }

  private static int arrivals(Random random, double perSecond) {
    double mean = perSecond * QueueSimulation.STEP_MILLIS / 1_000;
    return (int) mean + (random.nextDouble() < mean - (int) mean ? 1 : 0);
  }

  /** A burst of less urgent requests for 6 s, with the usual rates of the more urgent ones. */
  private static QueueSimulation burst(boolean urgentQueue, long seed) {
    int runners = 6;
    int nodes = 6;
    Random random = new Random(seed);
    QueueSimulation simulation = new QueueSimulation(nodes, runners, urgentQueue, PATIENCE);
    double[] usual = {0.25 * capacity(runners), 0.12 * capacity(runners), 0.13 * capacity(runners)};
    for (int step = 0; step < 3_600; step++) {
      for (int rank = 0; rank < 3 && step < 1_000; rank++) {
        boolean inBurst = rank == 2 && step >= 200 && step < 800;
        int count = arrivals(random, inBurst ? 2.3 * capacity(runners) : usual[rank]);
        for (int i = 0; i < count; i++) {
          int service = SERVICE_MILLIS / 2 + random.nextInt(SERVICE_MILLIS);
          simulation.arrive(random.nextInt(nodes), rank, "", TOKENS, service);
        }
      }
      simulation.pass();
    }
    return simulation;
  }

  /** Guards against less urgent requests that win every slot since their callers wait longer. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstOfLessUrgentRequestsTakesNothingFromUrgentOnes(long seed) {
    QueueSimulation simulation = burst(true, seed);
    double[] served = {
      simulation.servedShare(0), simulation.servedShare(1), simulation.servedShare(2)
    };
    assertThat(served[0]).isAtLeast(served[2] - 0.05);
    assertThat(served[1]).isAtLeast(served[2] - 0.05);
    assertThat(served[0]).isAtLeast(served[1] - 0.05);
  }

  /** Shows that the burst is one in which requests are served worse without the new order. */
  @Test
  void withoutTheSettingTheBurstTakesFromUrgentRequests() {
    QueueSimulation simulation = burst(false, 1);
    assertThat(simulation.servedShare(1)).isLessThan(simulation.servedShare(2) - 0.05);
  }

  /** Guards against a tenant that takes the slots of others by sending more. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void hotTenantTakesNothingFromOthers(long seed) {
    QueueSimulation simulation = new QueueSimulation(1, 4, true, PATIENCE);
    Random random = new Random(seed);
    for (int step = 0; step < 1_200; step++) {
      for (int tenant = 0; tenant < 16 && step < 1_000; tenant++) {
        double usual = 0.9 * capacity(4) / 16;
        int count = arrivals(random, tenant == 0 ? 7 * usual : usual);
        for (int i = 0; i < count; i++) {
          simulation.arrive(0, 1, "t" + tenant, 300 + random.nextInt(2_700), SERVICE_MILLIS);
        }
      }
      simulation.pass();
    }
    assertThat(simulation.calls("t0", "refused")).isNotEmpty();
    for (int tenant = 1; tenant < 16; tenant++) {
      long unserved =
          simulation.calls("t" + tenant, "refused").stream()
              .mapToLong(call -> call.forward.tokens())
              .sum();
      assertWithMessage("unserved tokens of t%s", tenant).that(unserved).isAtMost(3_000);
      assertThat(simulation.calls("t" + tenant, "left")).isEmpty();
    }
  }

  /**
   * Guards against a large request for which small ones never leave room, and against small ones
   * that a large one holds back for long.
   */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void sizesDoNotCrowdEachOtherOut(boolean oneLarge) {
    QueueSimulation simulation = new QueueSimulation(1, 1, true, Duration.ofSeconds(8));
    int common = oneLarge ? 5_000 : 40_000;
    int odd = oneLarge ? 60_000 : 300;
    for (int i = 0; i < 30; i++) {
      simulation.arrive(0, 1, "common", common, SERVICE_MILLIS);
    }
    QueueSimulation.Call single = simulation.arrive(0, 1, "odd", odd, SERVICE_MILLIS);
    int longest = 0;
    int idle = 0;
    for (int step = 0; step < 1_000; step++) {
      if (step < 600 && step % (oneLarge ? 3 : 30) == 0) {
        simulation.arrive(0, 1, "common", common, SERVICE_MILLIS);
      }
      int before = simulation.sent.size();
      simulation.pass();
      idle = simulation.sent.size() > before ? 0 : idle + 1;
      longest = step < 600 ? Math.max(longest, idle) : longest;
    }
    assertThat(single.end).isEqualTo("served");
    assertThat(single.held).isLessThan(Duration.ofMillis(5 * SERVICE_MILLIS));
    assertThat(longest * QueueSimulation.STEP_MILLIS).isAtMost(2 * SERVICE_MILLIS);
  }

  /**
   * Guards against a caller of a rare model who is refused or passed by for the queue of others.
   */
  @Test
  void rareModelWithOneCallerIsNeitherRefusedNorPassedBy() {
    QueueSimulation simulation = new QueueSimulation(1, 1, true, PATIENCE);
    QueueSimulation.Call rare = null;
    for (int step = 0; step < 400; step++) {
      for (int i = 0; i < 2; i++) {
        simulation.arrive(0, 1, "common", TOKENS, SERVICE_MILLIS);
      }
      if (step == 150) {
        rare = simulation.arrive(0, 1, "rare", "m1", TOKENS, SERVICE_MILLIS);
      }
      simulation.pass();
      if (step >= 250) {
        simulation.load("m1");
      }
    }
    assertThat(rare.end).isEqualTo("served");
    assertThat(rare.held).isAtMost(Duration.ofMillis(1_000 + 3 * SERVICE_MILLIS));
    assertThat(simulation.calls("common", "refused")).isNotEmpty();
  }

  /** Guards against requests that are held for most of their time limit and then refused. */
  @Test
  void requestThatCannotBeServedInTimeIsRefusedAtOnceWithTheTime() {
    QueueSimulation simulation = new QueueSimulation(1, 2, true, PATIENCE);
    Random random = new Random(1);
    Instant known = simulation.now.plusSeconds(3);
    for (int step = 0; step < 1_500; step++) {
      for (int i = arrivals(random, 1.8 * capacity(2)); i > 0 && step < 1_200; i--) {
        int service = SERVICE_MILLIS / 2 + random.nextInt(SERVICE_MILLIS);
        simulation.arrive(0, 1, "t", TOKENS, service);
      }
      simulation.pass();
    }
    List<Duration> heldTimes =
        simulation.calls("t", "refused").stream()
            .filter(call -> call.forward.arrivedAt().isAfter(known))
            .map(call -> call.held)
            .sorted()
            .toList();
    List<Duration> times =
        simulation.calls("t", "refused").stream().map(call -> call.retryAfter).sorted().toList();
    assertThat(heldTimes.get(heldTimes.size() * 9 / 10)).isAtMost(Duration.ofMillis(50));
    assertThat(times.get(times.size() / 20)).isAtLeast(Duration.ofMillis(1_300));
    assertThat(times.get(times.size() * 19 / 20)).isAtMost(Duration.ofMillis(2_300));
    assertThat(simulation.calls("t", "left")).isEmpty();
    assertThat(simulation.calls("t", "served").size()).isAtLeast((int) (0.9 * 12 * capacity(2)));
  }

  /** Guards against a change of order or refusals in deployments that do not ask for it. */
  @Test
  void withoutTheSettingRequestsGoByRankAndArrivalAndAreRefusedByTheirTimeOnly() {
    QueueSimulation simulation = new QueueSimulation(1, 1, false, PATIENCE);
    Random random = new Random(1);
    for (int i = 0; i < 120; i++) {
      simulation.arrive(0, random.nextInt(3), "t" + random.nextInt(4), 300, SERVICE_MILLIS);
    }
    for (int step = 0; step < 300; step++) {
      simulation.pass();
    }
    List<QueueSimulation.Call> queued =
        simulation.sent.subList(QueueSimulation.SLOTS, simulation.sent.size());
    assertThat(queued)
        .isInOrder(
            Comparator.comparingInt((QueueSimulation.Call call) -> call.forward.rank())
                .thenComparingLong(call -> call.forward.exchange()));
    for (QueueSimulation.Call call : simulation.calls) {
      if (call.end.equals("refused")) {
        assertThat(call.held).isAtLeast(PATIENCE.minusMillis(200));
        assertThat(call.retryAfter).isEqualTo(PATIENCE);
      }
    }
  }
}
