package dev.wisteriarail.replay;

/**
 * The state of a replayed fleet at one time.
 *
 * @param atMs time from the start of the trace, in milliseconds
 * @param ready number of replicas that are ready for requests
 * @param loading number of replicas that are loading
 * @param waiting number of requests that were not dispatched yet
 * @param heldBytes accelerator memory used by replicas, in bytes
 */
public record TimelineSample(long atMs, int ready, int loading, int waiting, long heldBytes) {}
