package dev.wisteriarail.standin;

/**
 * What an engine stand-in counted since its start.
 *
 * @param loads loads that it started
 * @param crashes times that it crashed
 * @param highWaterBytes most accelerator memory in use at a time, in bytes
 * @param memoryBytes accelerator memory, in bytes
 */
public record EngineCounters(int loads, int crashes, long highWaterBytes, long memoryBytes) {}
