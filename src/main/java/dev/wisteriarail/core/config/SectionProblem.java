package dev.wisteriarail.core.config;

import dev.wisteriarail.core.result.ResultCode;

/**
 * One reason for which a section cannot be accepted.
 *
 * @param code its numbered code
 * @param section the section that has to be mended
 * @param path the answer's path in its section, for example {@code model.3.customer}
 * @param message what is wrong
 * @param remedy how to mend it
 */
public record SectionProblem(
    ResultCode code, String section, String path, String message, String remedy) {

  /** Returns the problem on one line. */
  public String describe() {
    return code.label() + " " + section + ": " + path + ": " + message + "; " + remedy;
  }
}
