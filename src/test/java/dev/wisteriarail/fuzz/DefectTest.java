package dev.wisteriarail.fuzz;

import static com.google.common.truth.Truth.assertThat;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Each check detects the defect it is meant for, and reports nothing without a defect. */
class DefectTest {

  private static final long SEED = 3;
  private static final int STEPS = 120;

  @ParameterizedTest
  @CsvSource({
    "replicas, ORDERS_A_SECOND_REPLICA",
    "memory, ORDERS_BEYOND_MEMORY",
    "recovery, HOLDS_UNDECIDED_REPLICAS",
    "one-ending-in-time, DROPS_ENDINGS",
    "recovery, DROPS_ENDINGS",
    "one-ending-in-time, ENDS_TWICE",
    "whole-answer, LOSES_A_PIECE",
    "whole-answer, REPEATS_A_PIECE",
    "not-run, SAYS_NOT_RUN_AFTER_DISPATCH",
    "at-most-once, DISPATCHES_TWICE",
    "leaving, IGNORES_LEAVING",
    "drain, DRAINS_AT_ONCE",
    "drain, NEVER_DRAINS",
    "configuration, MISSES_CHANGES",
    "recovery, REFUSES_EVERYTHING",
    "core-fault, TAKES_NOTHING_FOR_AN_EVENT",
  })
  void checkSeesDefect(String check, Defects defect) {
    assertThat(checksViolatedBy(defect)).contains(check);
  }

  @Test
  void soundNodesBreakNothing() {
    assertThat(FuzzRun.execute(plan(), Defect.NONE).violations()).isEmpty();
  }

  // Helpers

  private static Set<String> checksViolatedBy(Defect defect) {
    return FuzzRun.execute(plan(), defect).violations().stream()
        .map(Violation::check)
        .collect(Collectors.toSet());
  }

  /** Returns a plan of requests and planned operations, without faults. */
  private static Plan plan() {
    Plan faultFree = FuzzRun.faultFreePlan(SEED, STEPS);
    List<Plan.Planned> actions = new ArrayList<>(faultFree.actions());
    actions.add(at(3, new Action.ChangeSection(0, 1, true)));
    actions.add(at(2, new Action.SlowStore(3, Duration.ofSeconds(6))));
    for (int node = 0; node < faultFree.nodes(); node++) {
      actions.add(at(4 + node, new Action.DrainNode(node, Duration.ofSeconds(1))));
    }
    actions.add(at(4, new Action.LeaveRunner(0, Duration.ofSeconds(11), Duration.ofSeconds(1))));
    actions.sort(Comparator.comparing(Plan.Planned::at));
    return faultFree.withActions(actions);
  }

  private static Plan.Planned at(int seconds, Action action) {
    return new Plan.Planned(Duration.ofSeconds(seconds), action);
  }
}
