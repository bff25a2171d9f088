package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.RequestOutcome;
import dev.wisteriarail.core.result.Execution;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Checks that a request refused as "not run" did not run before and does not run later. */
final class NotRunCheck implements Check {

  private final Set<RequestId> started = new TreeSet<>();
  private final Map<RequestId, String> refused = new TreeMap<>();

  @Override
  public String name() {
    return "not-run";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RunStarted run -> {
        started.add(run.request());
        if (refused.containsKey(run.request())) {
          reporter.report(
              run.request()
                  + " runs on "
                  + run.runner()
                  + " after it was refused as not run: "
                  + refused.get(run.request()));
        }
      }
      case Observation.RequestEnded ended -> acceptEnd(ended, reporter);
      default -> {}
    }
  }

  private void acceptEnd(Observation.RequestEnded ended, ViolationReporter reporter) {
    if (ended.ending() instanceof RequestOutcome.Refused refusal
        && refusal.refusal().execution() == Execution.NOT_RUN) {
      refused.put(ended.request(), refusal.refusal().code().name());
      if (started.contains(ended.request())) {
        reporter.report(ended.request() + " ran before it was refused as not run: " + refusal);
      }
    }
  }
}
