package dev.wisteriarail.core.log;

/** Outcome of an append to the log, as known to the caller. */
public sealed interface AppendOutcome {

  /**
   * The record is in the log.
   *
   * @param offset its offset
   */
  record Appended(long offset) implements AppendOutcome {}

  /**
   * The record is not in the log.
   *
   * @param reason description of the failure
   */
  record NotAppended(String reason) implements AppendOutcome {}

  /**
   * The record may or may not be in the log, because the response was lost.
   *
   * @param reason description of the failure
   */
  record Unknown(String reason) implements AppendOutcome {}
}
