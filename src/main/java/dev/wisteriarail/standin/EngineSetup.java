package dev.wisteriarail.standin;

import dev.wisteriarail.core.id.RunnerId;
import java.util.Optional;

/**
 * Start parameters of an engine stand-in.
 *
 * @param runner the runner that the engine belongs to
 * @param memoryBytes accelerator memory, in bytes
 * @param slots maximum number of requests in a batch
 * @param checksFencing whether the engine refuses orders with a stale fencing number
 * @param loadMillis duration of a replica load, in milliseconds
 * @param tokenMillis time between two chunks of an answer, in milliseconds
 * @param crashOn a request whose body contains this text crashes the engine
 * @param weightStore base address of the weight store; if empty, a load only waits
 */
public record EngineSetup(
    RunnerId runner,
    long memoryBytes,
    int slots,
    boolean checksFencing,
    long loadMillis,
    long tokenMillis,
    Optional<String> crashOn,
    Optional<String> weightStore) {

  /** Returns a copy with the address of a weight store. */
  public EngineSetup withWeightStore(String address) {
    return new EngineSetup(
        runner,
        memoryBytes,
        slots,
        checksFencing,
        loadMillis,
        tokenMillis,
        crashOn,
        Optional.of(address));
  }
}
