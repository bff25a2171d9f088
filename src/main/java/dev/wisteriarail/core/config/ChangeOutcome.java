package dev.wisteriarail.core.config;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;

/** What became of a change of configuration; the same on every node. */
public sealed interface ChangeOutcome {

  /**
   * The change is in force.
   *
   * @param revision the revision that it made
   */
  record Accepted(Revision revision) implements ChangeOutcome {}

  /**
   * The change has no effect and never will.
   *
   * @param code why
   * @param reason the first problem, or the revision that it should have named
   */
  record Rejected(ResultCode code, String reason) implements ChangeOutcome {}

  /** The change is part of a snapshot that this node started from. */
  record CoveredBySnapshot() implements ChangeOutcome {}
}
