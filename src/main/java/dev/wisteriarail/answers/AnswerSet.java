package dev.wisteriarail.answers;

import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import java.util.List;

/**
 * The sections read from a set of files, with all their problems.
 *
 * @param sections the sections, sorted by name
 * @param problems problems and warnings, sorted by file and line
 */
public record AnswerSet(List<Section> sections, List<AnswerProblem> problems) {

  /** Copies the lists. */
  public AnswerSet {
    sections = List.copyOf(sections);
    problems = List.copyOf(problems);
  }

  /** Returns whether the sections may be published. */
  public boolean isValid() {
    return problems.stream().allMatch(AnswerProblem::isWarning);
  }

  /**
   * Returns the configuration merged from the sections.
   *
   * @throws SettingsException with all problems other than warnings, one per line, if there are any
   */
  public Configuration configuration() throws SettingsException {
    List<AnswerProblem> errors = problems.stream().filter(problem -> !problem.isWarning()).toList();
    if (!errors.isEmpty()) {
      String lines = String.join("\n", errors.stream().map(AnswerProblem::describe).toList());
      throw new SettingsException(
          ResultCode.ANSWERS_INVALID, "", errors.size() + " problems\n" + lines);
    }
    return Configuration.merge(Revision.of(1), sections);
  }
}
