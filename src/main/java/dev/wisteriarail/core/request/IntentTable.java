package dev.wisteriarail.core.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.core.id.Incarnation;
import dev.wisteriarail.core.id.NodeId;
import dev.wisteriarail.core.log.RecordBody;
import dev.wisteriarail.core.log.RecordBody.IntentChange;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of all idempotency keys, computed from the log's records. Every reader of the log
 * computes the same state, independent of its clock: a key expires after a number of later keys,
 * not after a time.
 *
 * <p>Life cycle: one per node, updated in log order. Not thread-safe; owned by the node's core.
 */
public final class IntentTable {

  private final IntentLimits limits;
  private final Map<IntentKey, IntentState> states = new LinkedHashMap<>();
  private final Set<Long> expiredDigests = new LinkedHashSet<>();
  private boolean complete = true;

  private IntentTable(IntentLimits limits) {
    this.limits = limits;
  }

  /** Returns the state of an empty log. */
  public static IntentTable create(IntentLimits limits) {
    return new IntentTable(limits);
  }

  // Updates

  /** Applies a record and returns all changes in it, including those that have no effect. */
  public List<IntentChange> apply(RecordBody body) {
    List<IntentChange> changes =
        switch (body) {
          case IntentChange change -> List.of(change);
          case RecordBody.IntentBatch batch -> batch.changes();
          default -> List.of();
        };
    changes.forEach(this::applyChange);
    return changes;
  }

  private void applyChange(IntentChange change) {
    IntentKey key = IntentKey.of(change);
    IntentState state = states.get(key);
    if (change instanceof RecordBody.IntentRecorded recorded) {
      if (state == null && !isExpired(key)) {
        states.put(key, new IntentState(recorded, Optional.empty()));
        expireOldest();
      }
      return;
    }
    if (state == null || !state.isOpen() || !state.request().equals(change.request())) {
      return;
    }
    if (change instanceof RecordBody.IntentReleased) {
      states.remove(key);
    } else {
      states.put(key, state.withConclusion(change));
    }
  }

  private void expireOldest() {
    if (states.size() <= limits.maxKeys()) {
      return;
    }
    Iterator<IntentKey> oldest = states.keySet().iterator();
    addExpired(digest(oldest.next()));
    oldest.remove();
  }

  private void addExpired(long digest) {
    expiredDigests.add(digest);
    if (expiredDigests.size() > limits.maxExpiredKeys()) {
      Iterator<Long> oldest = expiredDigests.iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Records that the log dropped records before this node read them, so that a key without a state
   * may have been used.
   */
  public void markIncomplete() {
    complete = false;
  }

  // Snapshots

  /** Returns the complete state. */
  public IntentSnapshot snapshot() {
    List<IntentChange> changes = new ArrayList<>();
    for (IntentState state : states.values()) {
      changes.add(state.recorded());
      state.conclusion().ifPresent(changes::add);
    }
    return new IntentSnapshot(changes, List.copyOf(expiredDigests));
  }

  /** Replaces the state by a snapshot of another reader of the log. */
  public void restore(IntentSnapshot snapshot) {
    states.clear();
    expiredDigests.clear();
    snapshot.expiredDigests().forEach(this::addExpired);
    snapshot.changes().forEach(this::applyChange);
    complete = true;
  }

  // Accessors

  /** Returns the state of a key; empty if the key is free or expired. */
  public Optional<IntentState> find(IntentKey key) {
    return Optional.ofNullable(states.get(key));
  }

  /** Returns whether a key was used, but so many keys ago that its outcome is no longer stored. */
  public boolean isExpired(IntentKey key) {
    return !expiredDigests.isEmpty() && expiredDigests.contains(digest(key));
  }

  /** Returns whether every key in the log has been read or restored from a snapshot. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the intents without a conclusion of one incarnation of a node, oldest first. */
  public List<IntentState> openIntentsOf(NodeId owner, Incarnation incarnation) {
    return states.values().stream()
        .filter(IntentState::isOpen)
        .filter(state -> state.recorded().owner().equals(owner))
        .filter(state -> state.recorded().incarnation().equals(incarnation))
        .toList();
  }

  // Helpers

  /**
   * Returns the first 8 bytes of a key's SHA-256 hash. A collision causes an unused key to be
   * refused; it never lets the request of an expired key run again.
   */
  private static long digest(IntentKey key) {
    String text = key.customer().value().length() + ":" + key.customer() + key.key();
    byte[] hash = Fingerprints.sha256(text.getBytes(UTF_8));
    long digest = 0;
    for (int i = 0; i < Long.BYTES; i++) {
      digest = (digest << Byte.SIZE) | (hash[i] & 0xff);
    }
    return digest;
  }
}
