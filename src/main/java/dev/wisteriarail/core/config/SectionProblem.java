package dev.wisteriarail.core.config;

import dev.wisteriarail.core.result.ResultCode;

/**
 * A problem that prevents a section from being accepted.
 *
 * @param code the result code
 * @param section name of the section to be corrected
 * @param path path of the value in the section, for example {@code model.3.customer}
 * @param message description of the problem
 * @param remedy how to correct it
 */
public record SectionProblem(
    ResultCode code, String section, String path, String message, String remedy) {

  /** Returns a one-line description of the problem. */
  public String describe() {
    return code.label() + " " + section + ": " + path + ": " + message + "; " + remedy;
  }
}
