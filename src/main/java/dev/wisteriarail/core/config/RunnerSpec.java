package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.RunnerId;

/**
 * Configuration of a runner.
 *
 * @param id the runner's identifier
 * @param address base address of its engine or services, for example {@code http://127.0.0.1:9001}
 * @param failureDomain its failure domain
 * @param role its role
 * @param memoryBytes accelerator memory, in bytes; 0 for an application runner
 * @param accelerators number of accelerators; 0 for an application runner
 * @param slots number of requests that it runs concurrently in a batch
 * @param checksFencing whether its engine rejects orders with an old fencing number
 */
public record RunnerSpec(
    RunnerId id,
    String address,
    FailureDomain failureDomain,
    RunnerRole role,
    long memoryBytes,
    int accelerators,
    int slots,
    boolean checksFencing) {}
