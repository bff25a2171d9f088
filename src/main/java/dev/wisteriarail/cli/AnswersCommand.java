package dev.wisteriarail.cli;

import dev.wisteriarail.answers.AnswerProblem;
import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Checks and publishes teams' answers. */
final class AnswersCommand implements Command {

  @Override
  public String name() {
    return "answers";
  }

  @Override
  public String summary() {
    return "check: checks teams' answers";
  }

  @Override
  public String example() {
    return "wisteriarail answers check examples/cwmtawe";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("action, then files or folders of answers");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    List<String> words = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (words.isEmpty()) {
      throw usage("name an action: check");
    }
    List<Path> paths = words.stream().skip(1).map(Path::of).toList();
    return switch (words.getFirst()) {
      case "check" -> check(paths, out);
      default -> throw usage("no action " + words.getFirst() + "; there is: check");
    };
  }

  private static ExitCode check(List<Path> paths, PrintStream out) throws SettingsException {
    if (paths.isEmpty()) {
      throw usage("name files or folders to check");
    }
    AnswerSet answers = AnswersReader.read(paths);
    answers.problems().stream().map(AnswerProblem::describe).forEach(out::println);
    long warnings = answers.problems().stream().filter(AnswerProblem::isWarning).count();
    out.printf(
        "%d sections, %d problems, %d warnings%n",
        answers.sections().size(), answers.problems().size() - warnings, warnings);
    return answers.isValid() ? ExitCode.SUCCESS : ExitCode.INVALID_INPUT;
  }

  private static SettingsException usage(String message) {
    return new SettingsException(ResultCode.USAGE, "answers", message);
  }
}
