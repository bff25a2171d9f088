package dev.wisteriarail.core.tenant;

import java.time.Duration;

/**
 * What the owner of a tenant decided on requests in an interval.
 *
 * @param tenant the tenant's name
 * @param granted cost of the requests that were granted
 * @param refused cost of the requests that were refused
 * @param longestDelay longest time for which a granted request has to wait
 * @param level what the owner's bucket holds at the end of the interval; negative for a debt
 */
public record OwnerUse(
    String tenant, double granted, double refused, Duration longestDelay, double level) {}
