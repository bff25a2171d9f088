package dev.wisteriarail.core.forward;

import java.time.Duration;

/**
 * Repeats that all nodes together may send to a service.
 *
 * @param window length of the sliding window in which they are counted
 * @param ratio repeats allowed for each request in the window
 * @param slack repeats allowed besides
 */
public record RetryLimits(Duration window, double ratio, double slack) {}
