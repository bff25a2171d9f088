package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.RunnerId;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/** Checks that a leaving backend server gets no new requests after a few seconds. */
final class LeavingCheck implements Check {

  /** Time from a runner's notice that it leaves until no node may decide to send to it. */
  private static final Duration LIMIT = Duration.ofSeconds(5);

  private final Map<RunnerId, Instant> leavingSince = new TreeMap<>();

  @Override
  public String name() {
    return "leaving";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RunnerLeaving leaving -> leavingSince.put(leaving.runner(), at);
      case Observation.RunnerBack back -> leavingSince.remove(back.runner());
      case Observation.RunStarted run -> {
        Instant since = leavingSince.get(run.runner());
        if (since != null && run.formed().isAfter(since.plus(LIMIT))) {
          reporter.report(run.request() + " runs on " + run.runner() + ", leaving since " + since);
        }
      }
      default -> {}
    }
  }
}
