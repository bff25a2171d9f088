package dev.wisteriarail.core.fleet;

/**
 * An order ready to be sent.
 *
 * @param number the coordinator's number of it
 * @param runner the runner
 * @param bornMillis the run of the runner that it is for
 * @param expectedOrderCount number of orders that the runner accepted before it
 * @param order the order
 * @param reason why, for the log
 * @param basis what it was decided from, for the log
 */
public record NumberedOrder(
    long number,
    String runner,
    long bornMillis,
    long expectedOrderCount,
    FleetOrder order,
    String reason,
    OrderBasis basis) {}
