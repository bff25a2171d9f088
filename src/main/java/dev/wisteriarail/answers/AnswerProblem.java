package dev.wisteriarail.answers;

import dev.wisteriarail.core.result.ResultCode;

/**
 * One problem of teams' answers.
 *
 * @param code its numbered code; {@link ResultCode#ANSWER_DOUBTFUL} for a warning
 * @param file the file
 * @param line the line, counted from 1; 0 where no line applies
 * @param key the answer's path, for example {@code model.3.customer}
 * @param message what is wrong
 * @param remedy how to mend it
 */
public record AnswerProblem(
    ResultCode code, String file, int line, String key, String message, String remedy) {

  /** Returns whether the answers may be published all the same. */
  public boolean isWarning() {
    return code == ResultCode.ANSWER_DOUBTFUL;
  }

  /** Returns the problem on one line. */
  public String describe() {
    String place = line > 0 ? file + ":" + line : file;
    String subject = key.isEmpty() ? "" : key + ": ";
    return place + ": " + code.label() + " " + subject + message + "; " + remedy;
  }
}
