package dev.wisteriarail.standin;

/**
 * Counters of an engine stand-in since its start.
 *
 * @param loads number of loads started
 * @param crashes number of crashes
 * @param highWaterBytes peak accelerator memory in use, in bytes
 * @param memoryBytes accelerator memory, in bytes
 */
public record EngineCounters(int loads, int crashes, long highWaterBytes, long memoryBytes) {}
