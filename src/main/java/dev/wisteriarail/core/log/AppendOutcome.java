package dev.wisteriarail.core.log;

/** What is known of an append after its call returned. */
public sealed interface AppendOutcome {

  /**
   * The record stands in the log.
   *
   * @param offset its position
   */
  record Appended(long offset) implements AppendOutcome {}

  /**
   * The record does not stand in the log.
   *
   * @param reason what went wrong
   */
  record NotAppended(String reason) implements AppendOutcome {}

  /**
   * The record may stand in the log; the answer was lost.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements AppendOutcome {}
}
