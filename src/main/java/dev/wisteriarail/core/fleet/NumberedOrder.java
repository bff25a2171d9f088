package dev.wisteriarail.core.fleet;

/**
 * An order that is ready to be sent.
 *
 * @param number the coordinator's number of the order
 * @param runner the runner
 * @param bornMillis start time of the runner's run that the order is for
 * @param expectedOrderCount number of orders that the runner accepted before this one
 * @param order the order
 * @param reason reason for the order, for the log
 * @param basis the state that the order is based on, for the log
 */
public record NumberedOrder(
    long number,
    String runner,
    long bornMillis,
    long expectedOrderCount,
    FleetOrder order,
    String reason,
    OrderBasis basis) {}
