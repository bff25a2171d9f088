package dev.wisteriarail.replay;

/**
 * One request of a trace, as a line of the trace file.
 *
 * @param atMs arrival time, in milliseconds from the start of the trace
 * @param customer the customer's identifier
 * @param model the model's identifier
 * @param adapter the adapter's identifier, or null
 * @param kind the kind of request
 * @param key the idempotency key, or null
 * @param tokensIn number of tokens in the prompt
 * @param tokensOut number of tokens in the answer
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
