package dev.wisteriarail.answers;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;

/** Outcome of publishing a section. */
public sealed interface PublishOutcome {

  /** Returns the section. */
  String section();

  /**
   * The section was accepted and is in force.
   *
   * @param section the section
   * @param revision the revision that it created
   */
  record Published(String section, Revision revision) implements PublishOutcome {}

  /**
   * The section was not accepted, or a snapshot covers its record and hides the outcome.
   *
   * @param section the section
   * @param code result code
   * @param reason explanation for the operator
   */
  record Refused(String section, ResultCode code, String reason) implements PublishOutcome {}
}
