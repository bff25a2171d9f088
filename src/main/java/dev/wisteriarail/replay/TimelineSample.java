package dev.wisteriarail.replay;

/**
 * The state of a replayed fleet at one time.
 *
 * @param atMs time from the start of the trace, in milliseconds
 * @param ready replicas that take requests
 * @param loading replicas that load
 * @param waiting requests without a runner
 * @param heldBytes accelerator memory held by replicas, in bytes
 */
public record TimelineSample(long atMs, int ready, int loading, int waiting, long heldBytes) {}
