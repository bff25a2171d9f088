package dev.wisteriarail.fuzz;

import dev.wisteriarail.fuzz.oracle.Violation;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Shortens the plan of a run with a violation while the same check still reports one. */
public final class Shrinker {

  private static final int MAX_RUNS = 150;

  private final Defect defect;
  private final String check;
  private RunResult best;
  private int runs;

  private Shrinker(RunResult found, Defect defect) {
    this.defect = defect;
    best = found;
    check = found.violations().getFirst().check();
  }

  /** Returns the result of the shortest plan found. */
  public static RunResult shrink(RunResult found, Defect defect) {
    Shrinker shrinker = new Shrinker(found, defect);
    shrinker.dropAfterViolation(found.violations().getFirst());
    shrinker.dropChunks();
    return shrinker.best;
  }

  private void dropAfterViolation(Violation violation) {
    List<Plan.Planned> before =
        best.plan().actions().stream()
            .filter(planned -> !Instant.EPOCH.plus(planned.at()).isAfter(violation.at()))
            .toList();
    violatesSameCheck(best.plan().withActions(before));
  }

  private void dropChunks() {
    int size = Math.max(1, best.plan().actions().size() / 2);
    while (runs < MAX_RUNS) {
      boolean shortened = dropChunksOf(size);
      if (!shortened && size == 1) {
        return;
      }
      size = shortened ? size : size / 2;
    }
  }

  private boolean dropChunksOf(int size) {
    boolean shortened = false;
    int from = 0;
    while (from < best.plan().actions().size() && runs < MAX_RUNS) {
      List<Plan.Planned> kept = new ArrayList<>(best.plan().actions());
      kept.subList(from, Math.min(from + size, kept.size())).clear();
      if (violatesSameCheck(best.plan().withActions(kept))) {
        shortened = true;
      } else {
        from += size;
      }
    }
    return shortened;
  }

  private boolean violatesSameCheck(Plan plan) {
    runs++;
    RunResult result = FuzzRun.executeUntil(check, plan, defect);
    boolean same = result.violations().stream().map(Violation::check).anyMatch(check::equals);
    if (same) {
      best = result;
    }
    return same;
  }
}
