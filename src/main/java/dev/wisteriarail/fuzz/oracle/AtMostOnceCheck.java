package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.RequestId;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/** Checks that a non-repeatable request runs at most once, over all requests with its key. */
final class AtMostOnceCheck implements Check {

  private final Map<RequestId, Observation.RequestSent> sent = new TreeMap<>();
  private final Map<String, RequestId> firstRuns = new TreeMap<>();

  @Override
  public String name() {
    return "at-most-once";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RequestSent request -> sent.put(request.request(), request);
      case Observation.RunStarted run -> {
        Observation.RequestSent request = sent.get(run.request());
        if (request != null && !request.repeatable() && run.runs()) {
          acceptRun(request, run, reporter);
        }
      }
      default -> {}
    }
  }

  private void acceptRun(
      Observation.RequestSent request, Observation.RunStarted run, ViolationReporter reporter) {
    String work =
        request.customer() + "/" + request.key().map(Object::toString).orElse("request " + request);
    RequestId first = firstRuns.putIfAbsent(work, run.request());
    if (first != null) {
      reporter.report(
          work + " ran as " + first + " and again as " + run.request() + " on " + run.runner());
    }
  }
}
