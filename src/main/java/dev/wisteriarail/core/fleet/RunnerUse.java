package dev.wisteriarail.core.fleet;

/**
 * Requests of one node that a runner is serving.
 *
 * @param runner the runner
 * @param model the model; empty for a service without models
 * @param adapter the adapter; empty for the model itself
 * @param running number of requests
 * @param tokens tokens of their prompts and answers
 */
public record RunnerUse(String runner, String model, String adapter, int running, long tokens) {}
