package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.FailureDomain;
import dev.wisteriarail.core.id.RunnerId;

/**
 * One runner.
 *
 * @param id the runner
 * @param address base address of its engine or services, for example {@code http://127.0.0.1:9001}
 * @param failureDomain where it stands
 * @param role what it runs
 * @param memoryBytes accelerator memory, in bytes; 0 for an application runner
 * @param accelerators number of accelerators; 0 for an application runner
 * @param slots requests that it batches at a time
 * @param checksFencing whether its engine refuses an order with an old fencing number
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
