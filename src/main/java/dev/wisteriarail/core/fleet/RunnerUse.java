package dev.wisteriarail.core.fleet;

/**
 * Requests of one node that a runner serves.
 *
 * @param runner the runner
 * @param model the model; empty text for a plain service
 * @param adapter the adapter; empty text for the model itself
 * @param running number of requests
 * @param tokens tokens of their prompts and answers
 */
public record RunnerUse(String runner, String model, String adapter, int running, long tokens) {}
