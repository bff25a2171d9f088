package dev.wisteriarail.core.forward;

import java.time.Duration;

/**
 * Limits on the retries that all nodes together may send to a service.
 *
 * @param window length of the sliding window in which retries are counted
 * @param ratio number of retries allowed per request in the window
 * @param slack number of retries allowed in addition
 */
public record RetryLimits(Duration window, double ratio, double slack) {}
