package dev.wisteriarail.answers;

import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;

/** What became of publishing one section. */
public sealed interface PublishOutcome {

  /** Returns the section. */
  String section();

  /**
   * The section is in force.
   *
   * @param section the section
   * @param revision the revision that it made
   */
  record Published(String section, Revision revision) implements PublishOutcome {}

  /**
   * The section has no effect.
   *
   * @param section the section
   * @param code why
   * @param reason what to look at
   */
  record Refused(String section, ResultCode code, String reason) implements PublishOutcome {}
}
