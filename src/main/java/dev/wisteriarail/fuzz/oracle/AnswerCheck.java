package dev.wisteriarail.fuzz.oracle;

import dev.wisteriarail.core.id.RequestId;
import dev.wisteriarail.core.request.RequestOutcome;
import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

/** Checks that each caller gets the complete answer to its request, with its chunks in order. */
final class AnswerCheck implements Check {

  private static final int STATUS_SUCCESS_LIMIT = 300;

  private final Map<RequestId, String> expected = new TreeMap<>();
  private final Map<RequestId, String> received = new TreeMap<>();

  @Override
  public String name() {
    return "whole-answer";
  }

  @Override
  public void observe(Instant at, Observation observation, ViolationReporter reporter) {
    switch (observation) {
      case Observation.RequestSent sent -> expected.put(sent.request(), sent.answer());
      case Observation.PieceReceived chunk -> {
        String soFar = received.merge(chunk.request(), chunk.text(), String::concat);
        if (!expected.getOrDefault(chunk.request(), "").startsWith(soFar)) {
          reporter.report(chunk.request() + " got " + chunk.text() + " making " + soFar);
        }
      }
      case Observation.RequestEnded ended -> {
        String all = received.getOrDefault(ended.request(), "");
        boolean complete = all.equals(expected.get(ended.request()));
        if (ended.ending() instanceof RequestOutcome.Completed completed
            && completed.status() < STATUS_SUCCESS_LIMIT
            && !complete) {
          reporter.report(ended.request() + " completed with the partial answer '" + all + "'");
        }
      }
      default -> {}
    }
  }
}
