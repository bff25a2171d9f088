package dev.wisteriarail.load;

import java.time.Duration;

/** A load pattern. Every scenario is open loop: calls are sent without waiting for answers. */
public sealed interface LoadScenario {

  /**
   * Requests at a constant mean rate, spread randomly over models and targets.
   *
   * @param requestsPerSecond mean rate of requests
   * @param duration duration of the load
   */
  record Steady(double requestsPerSecond, Duration duration) implements LoadScenario {}

  /**
   * Bursts of simultaneous requests for one model at all targets; successive bursts use successive
   * models.
   *
   * @param size number of requests per burst
   * @param interval time between bursts
   * @param duration duration of the load
   */
  record Burst(int size, Duration interval, Duration duration) implements LoadScenario {}

  /**
   * A constant mean rate from the first caller, and a multiple of that rate from the second.
   *
   * @param requestsPerSecond request rate of the first caller
   * @param factor ratio of the second caller's rate to the first caller's
   * @param duration duration of the load
   */
  record Flood(double requestsPerSecond, int factor, Duration duration) implements LoadScenario {}

  /**
   * Pairs of identical requests, sent at the same time to two targets with one idempotency key.
   *
   * @param requestsPerSecond mean rate of pairs
   * @param duration duration of the load
   */
  record Duplicate(double requestsPerSecond, Duration duration) implements LoadScenario {}
}
