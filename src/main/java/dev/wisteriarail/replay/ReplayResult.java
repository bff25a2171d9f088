package dev.wisteriarail.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.util.List;
import java.util.Map;

/**
 * The measurements of one replay. docs/design/placement.md defines each.
 *
 * @param deployment the deployment's name
 * @param policy the policy's name
 * @param requests number of arrived requests
 * @param served requests that completed
 * @param refused requests that were refused
 * @param refusedByCode refused requests by result code
 * @param refusedByKind refused requests by kind
 * @param refusedByCustomer refused requests by customer
 * @param lost requests without an outcome
 * @param late requests that were neither dispatched nor refused by their deadline
 * @param coldStarts requests that found no ready replica of their model
 * @param coldStartMs time from the arrival of a cold request to its dispatch
 * @param modelWaitMs the same time over all requests for models, 0 if a replica was ready at
 *     arrival
 * @param firstTokenMs time from arrival to the first token at the caller
 * @param idleAcceleratorHours accelerator hours of replicas that run no request
 * @param busyAcceleratorHours accelerator hours of replicas that run requests
 * @param loads number of replica loads started
 * @param unloads number of replicas unloaded by order
 * @param maxMemoryOvercommitBytes maximum number of bytes by which replicas exceeded a runner's
 *     memory
 * @param extraReplicas maximum number of replicas of a model beyond its limit at a time
 */
public record ReplayResult(
    String deployment,
    String policy,
    int requests,
    int served,
    int refused,
    Map<String, Integer> refusedByCode,
    Map<String, Integer> refusedByKind,
    Map<String, Integer> refusedByCustomer,
    int lost,
    int late,
    int coldStarts,
    Percentiles coldStartMs,
    Percentiles modelWaitMs,
    Percentiles firstTokenMs,
    double idleAcceleratorHours,
    double busyAcceleratorHours,
    int loads,
    int unloads,
    long maxMemoryOvercommitBytes,
    int extraReplicas) {

  /** Returns the result as one JSON object with field names in snake case. */
  public String toJson() {
    try {
      return JsonLines.mapper().writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns the result as indented JSON for people. */
  public String toText() {
    try {
      return JsonLines.mapper().writer(SerializationFeature.INDENT_OUTPUT).writeValueAsString(this);
    } catch (JsonProcessingException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /**
   * A result with the timeline of its replay.
   *
   * @param result the measurements
   * @param samples the fleet's state over time
   */
  public record WithTimeline(ReplayResult result, List<TimelineSample> samples) {

    /** Copies the list. */
    public WithTimeline {
      samples = List.copyOf(samples);
    }
  }
}
