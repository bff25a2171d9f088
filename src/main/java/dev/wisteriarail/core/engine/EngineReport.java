package dev.wisteriarail.core.engine;

import dev.wisteriarail.core.id.FencingNumber;
import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.RunnerId;
import java.util.List;

/**
 * A report of a runner's state, which may be out of date.
 *
 * @param runner the runner
 * @param incarnation the engine process's incarnation; a new incarnation starts without replicas
 * @param highestFence highest fencing number that the engine has seen
 * @param leaving whether the runner accepts no new work
 * @param activeRequests number of requests that it is running
 * @param queuedRequests number of requests in its queue
 * @param memoryUsedBytes accelerator memory in use, in bytes
 * @param replicas its replicas
 * @param sequence number of the report within the incarnation, in the order of the reported states;
 *     0 if the engine does not number its reports
 */
public record EngineReport(
    RunnerId runner,
    Incarnation incarnation,
    FencingNumber highestFence,
    boolean leaving,
    int activeRequests,
    int queuedRequests,
    long memoryUsedBytes,
    List<ReplicaStatus> replicas,
    long sequence) {

  /** Copies the list. */
  public EngineReport {
    replicas = List.copyOf(replicas);
  }

  /** Creates a report of an engine that does not number its reports. */
  public EngineReport(
      RunnerId runner,
      Incarnation incarnation,
      FencingNumber highestFence,
      boolean leaving,
      int activeRequests,
      int queuedRequests,
      long memoryUsedBytes,
      List<ReplicaStatus> replicas) {
    this(
        runner,
        incarnation,
        highestFence,
        leaving,
        activeRequests,
        queuedRequests,
        memoryUsedBytes,
        replicas,
        0);
  }
}
