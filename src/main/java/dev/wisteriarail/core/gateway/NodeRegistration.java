package dev.wisteriarail.core.gateway;

import java.time.Instant;

/**
 * Keeps this node's own address in the platform's store, so that nodes that start find it.
 *
 * <p>Life cycle: one per run of a node. Not thread-safe.
 */
final class NodeRegistration {

  /** How far the address got into the store. */
  enum State {
    /** Not written yet. */
    PENDING,
    /** The last try failed. */
    FAILED,
    /** Written. */
    DONE
  }

  private State state = State.PENDING;
  private boolean writing;
  private Instant rewriteAt = Instant.MAX;

  private NodeRegistration() {}

  static NodeRegistration create() {
    return new NodeRegistration();
  }

  /** Takes the end of a write. */
  void accept(boolean succeeded) {
    writing = false;
    state = succeeded ? State.DONE : State.FAILED;
  }

  /** Notes that the store may have lost the address, which is written again at a time. */
  void scheduleRewrite(Instant at) {
    rewriteAt = at;
  }

  /**
   * Returns whether the address is to be written now, and notes that it is.
   *
   * @param storeAvailable whether the store answers
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
