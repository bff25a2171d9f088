package dev.wisteriarail.replay;

/**
 * One request of a trace, as it stands in the file.
 *
 * @param atMs arrival, in milliseconds from the start of the trace
 * @param customer the customer
 * @param model the model
 * @param adapter the adapter, or null
 * @param kind the kind of request
 * @param key the idempotency key, or null
 * @param tokensIn tokens of the prompt
 * @param tokensOut tokens of the answer
 */
public record TraceLine(
    long atMs,
    String customer,
    String model,
    String adapter,
    String kind,
    String key,
    int tokensIn,
    int tokensOut) {}
