package dev.wisteriarail.load;

import java.time.Duration;

/** What load to send. Every scenario is open loop: sending does not wait for answers. */
public sealed interface LoadScenario {

  /**
   * Requests at an even rate, spread over the models.
   *
   * @param requestsPerSecond the rate
   * @param duration how long
   */
  record Steady(double requestsPerSecond, Duration duration) implements LoadScenario {}

  /**
   * Requests for one model at all targets at once, one model after the other.
   *
   * @param size requests in a burst
   * @param interval time between bursts
   * @param duration how long
   */
  record Burst(int size, Duration interval, Duration duration) implements LoadScenario {}

  /**
   * An even rate by the first caller, and a multiple of it by the second.
   *
   * @param requestsPerSecond the first caller's rate
   * @param factor the second caller's multiple of it
   * @param duration how long
   */
  record Flood(double requestsPerSecond, int factor, Duration duration) implements LoadScenario {}

  /**
   * Each request is sent twice at the same time, to two targets, under one idempotency key.
   *
   * @param requestsPerSecond pairs a second
   * @param duration how long
   */
  record Duplicate(double requestsPerSecond, Duration duration) implements LoadScenario {}
}
