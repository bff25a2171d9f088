package dev.wisteriarail.standin;

import dev.wisteriarail.core.id.RunnerId;
import java.util.Optional;

/**
 * What an engine stand-in is told at its start.
 *
 * @param runner its runner
 * @param memoryBytes accelerator memory, in bytes
 * @param slots requests that it batches at a time
 * @param checksFencing whether it refuses an order with an old fencing number
 * @param loadMillis time that a load takes, in milliseconds
 * @param tokenMillis time between two pieces of an answer, in milliseconds
 * @param crashOn a text; a request whose body has it crashes the engine
 * @param weightStore base address of the weight store; empty to load without one
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

  /** Returns the same setup with the address of a weight store. */
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
