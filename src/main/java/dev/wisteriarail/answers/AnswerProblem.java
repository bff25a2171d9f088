package dev.wisteriarail.answers;

import dev.wisteriarail.core.result.ResultCode;

/**
 * A problem in the teams' answers.
 *
 * @param code its result code; {@link ResultCode#ANSWER_DOUBTFUL} for a warning
 * @param file the file
 * @param line the line, counted from 1; 0 where no line applies
 * @param key the answer's path, for example {@code model.3.customer}
 * @param message the fault
 * @param remedy how to correct it
 */
public record AnswerProblem(
    ResultCode code, String file, int line, String key, String message, String remedy) {

  /** Returns whether the problem is only a warning, which does not prevent publishing. */
  public boolean isWarning() {
    return code == ResultCode.ANSWER_DOUBTFUL;
  }

  /** Returns the problem as one line of text. */
  public String describe() {
    String location = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return location + ": " + code.label() + " " + subject + message + "; " + remedy;
  }
}
