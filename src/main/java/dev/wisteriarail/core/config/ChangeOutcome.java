package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;

/** Outcome of a configuration change; the same on every node. */
public sealed interface ChangeOutcome {

  /**
   * The change was accepted and is in force.
   *
   * @param revision the new revision
   */
  record Accepted(Revision revision) implements ChangeOutcome {}

  /**
   * The change was rejected for good and has no effect.
   *
   * @param code the result code of the problem
   * @param reason the first problem, or the revision that the change had to be based on
   */
  record Rejected(ResultCode code, String reason) implements ChangeOutcome {}

  /** The change is already covered by a snapshot from which this node started. */
  record CoveredBySnapshot() implements ChangeOutcome {}
}
