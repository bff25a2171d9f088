package dev.wisteriarail.core.gateway;

import java.time.Instant;

/**
 * Keeps this node's address registered in the platform's store, so that starting nodes find it.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class NodeRegistration {

  /** Progress of the registration. */
  enum State {
    /** The address has not been written yet. */
    PENDING,
    /** The last write failed. */
    FAILED,
    /** The address was written. */
    DONE
  }

  private State state = State.PENDING;
  private boolean writing;
  private Instant rewriteAt = Instant.MAX;

  private NodeRegistration() {}

  static NodeRegistration create() {
    return new NodeRegistration();
  }

  /** Handles the result of a write. */
  void accept(boolean succeeded) {
    writing = false;
    state = succeeded ? State.DONE : State.FAILED;
  }

  /** Schedules another write, as the store may have lost the address. */
  void scheduleRewrite(Instant at) {
    rewriteAt = at;
  }

  /**
   * Returns whether the address is to be written now, and marks the write as started.
   *
   * @param storeAvailable whether the store responds
   */
  boolean tryBeginWrite(boolean storeAvailable, Instant now) {
    if (!now.isBefore(rewriteAt)) {
      rewriteAt = Instant.MAX;
      state = State.PENDING;
    }
    if (state == State.DONE || writing || !storeAvailable) {
      return false;
    }
    writing = true;
    return true;
  }

  State state() {
    return state;
  }
}
