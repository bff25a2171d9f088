package dev.wisteriarail.core.state;

import java.util.List;

/**
 * A part of a node's state that is a pure function of the log's records up to an offset.
 *
 * <p>Two nodes that folded the same records hold equal ledgers, so a snapshot that one of them
 * takes can replace the records for the other.
 */
public interface ReplicatedState {

  /** Returns the whole state in parts that are small enough for one record each. */
  List<SnapshotPart> snapshot();

  /**
   * Replaces the whole state.
   *
   * @param parts the parts of a snapshot; those of other ledgers are passed over
   * @param through offset of the last record that the snapshot covers
   */
  void restore(List<SnapshotPart> parts, long through);
}
