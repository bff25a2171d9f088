package dev.wisteriarail.core.state;

import java.util.List;

/**
 * A part of a node's state that is a pure function of the log records up to an offset.
 *
 * <p>Two nodes that applied the same records have equal states, so one node can start from another
 * node's snapshot instead of the records.
 */
public interface ReplicatedState {

  /** Returns the whole state, split into parts that each fit into one log record. */
  List<SnapshotPart> snapshot();

  /**
   * Replaces the whole state.
   *
   * @param parts the parts of a snapshot; parts that belong to other states are ignored
   * @param through offset of the last record that the snapshot covers
   */
  void restore(List<SnapshotPart> parts, long through);
}
