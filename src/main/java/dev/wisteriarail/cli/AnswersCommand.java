package dev.wisteriarail.cli;

import dev.wisteriarail.answers.AnswerProblem;
import dev.wisteriarail.answers.AnswerSet;
import dev.wisteriarail.answers.AnswersReader;
import dev.wisteriarail.answers.ConfigurationDiff;
import dev.wisteriarail.answers.LogReader;
import dev.wisteriarail.answers.PublishOutcome;
import dev.wisteriarail.answers.Publisher;
import dev.wisteriarail.core.config.ChangeOutcome;
import dev.wisteriarail.core.config.Configuration;
import dev.wisteriarail.core.config.Section;
import dev.wisteriarail.core.id.Revision;
import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.spi.LogService;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Checks, compares, publishes and reverts answers, the configuration sections of teams. */
final class AnswersCommand implements Command {

  @Override
  public String name() {
    return "answers";
  }

  @Override
  public String summary() {
    return "check | diff | publish | history | revert: answers of teams";
  }

  @Override
  public String example() {
    return "wisteriarail answers publish --log http://127.0.0.1:9000 --base 17 --author ann"
        + " --reason \"larger queue\" examples/cwmtawe";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("action, then files or folders of answers");
    PlatformLog.declareOptions(parser);
    parser.accepts("base", "revision that diff printed").withRequiredArg().ofType(Long.class);
    parser.accepts("author", "name of the author recorded with the change").withRequiredArg();
    parser.accepts("reason", "why").withRequiredArg();
    parser.accepts("section", "section to revert").withRequiredArg();
    parser.accepts("to", "revision to restore").withRequiredArg().ofType(Long.class);
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (arguments.isEmpty()) {
      throw usageError("name an action: check, diff, publish, history or revert");
    }
    List<Path> paths = arguments.stream().skip(1).map(Path::of).toList();
    return switch (arguments.getFirst()) {
      case "check" -> check(paths, out);
      case "diff" -> PlatformLog.withLog(options, log -> diff(log, options, paths, out));
      case "publish" -> PlatformLog.withLog(options, log -> publish(log, options, paths, out));
      case "history" -> PlatformLog.withLog(options, log -> history(log, options, out));
      case "revert" -> PlatformLog.withLog(options, log -> revert(log, options, out));
      default -> throw usageError("no action " + arguments.getFirst());
    };
  }

  // Actions

  private static ExitCode check(List<Path> paths, PrintStream out) throws SettingsException {
    requirePaths(paths);
    AnswerSet answers = AnswersReader.read(paths);
    answers.problems().stream().map(AnswerProblem::describe).forEach(out::println);
    long warnings = answers.problems().stream().filter(AnswerProblem::isWarning).count();
    out.printf(
        "%d sections, %d problems, %d warnings%n",
        answers.sections().size(), answers.problems().size() - warnings, warnings);
    return answers.isValid() ? ExitCode.SUCCESS : ExitCode.INVALID_INPUT;
  }

  private static ExitCode diff(LogService log, OptionSet options, List<Path> paths, PrintStream out)
      throws SettingsException, PlatformException {
    LogReader reader = readLog(log, options);
    Map<String, Section> next = new TreeMap<>(reader.configurationState().sections());
    AnswerSet answers = readAnswers(paths, reader);
    answers.problems().stream().map(AnswerProblem::describe).forEach(out::println);
    answers.sections().forEach(section -> next.put(section.name(), section));
    Configuration current = reader.configurationState().current();
    Configuration after = Configuration.merge(current.revision(), next.values());
    List<String> lines = ConfigurationDiff.lines(current, after, reader.cellState().reservations());
    lines.forEach(out::println);
    out.printf(
        "based on revision %s: publish with --base %s%n", current.revision(), current.revision());
    return answers.isValid() ? ExitCode.SUCCESS : ExitCode.INVALID_INPUT;
  }

  private static ExitCode publish(
      LogService log, OptionSet options, List<Path> paths, PrintStream out)
      throws SettingsException, PlatformException {
    LogReader reader = readLog(log, options);
    AnswerSet answers = readAnswers(paths, reader);
    if (!answers.isValid()) {
      answers.problems().stream().map(AnswerProblem::describe).forEach(out::println);
      return ExitCode.INVALID_INPUT;
    }
    return publish(log, reader, options, answers.sections(), out);
  }

  private static ExitCode publish(
      LogService log, LogReader reader, OptionSet options, List<Section> sections, PrintStream out)
      throws SettingsException, PlatformException {
    Revision base = Revision.of(requiredNumber(options, "base"));
    Publisher publisher =
        Publisher.create(
            log,
            reader,
            requiredText(options, "author"),
            requiredText(options, "reason"),
            () -> UUID.randomUUID().toString());
    if (publisher.changed(sections).isEmpty()) {
      out.println(
          "nothing differs from revision " + reader.configurationState().current().revision());
      return ExitCode.SUCCESS;
    }
    List<PublishOutcome> outcomes = publisher.publish(sections, base);
    outcomes.forEach(outcome -> out.println(describe(outcome)));
    boolean allPublished = outcomes.stream().allMatch(PublishOutcome.Published.class::isInstance);
    return allPublished ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private static ExitCode history(LogService log, OptionSet options, PrintStream out)
      throws PlatformException {
    LogReader reader = readLog(log, options);
    reader.changes().forEach(change -> out.println(describe(change)));
    out.println("in force: revision " + reader.configurationState().current().revision());
    return ExitCode.SUCCESS;
  }

  private static ExitCode revert(LogService log, OptionSet options, PrintStream out)
      throws SettingsException, PlatformException {
    LogReader reader = readLog(log, options);
    String name = requiredText(options, "section");
    long to = requiredNumber(options, "to");
    Section earlier =
        reader.changes().stream()
            .filter(LogReader.Change::isAccepted)
            .filter(change -> change.change().section().name().equals(name))
            .filter(change -> acceptedRevision(change).value() <= to)
            .reduce((first, second) -> second)
            .map(change -> change.change().section())
            .orElseThrow(() -> unknownRevision(name, to));
    return publish(log, reader, options, List.of(earlier), out);
  }

  // Helpers

  private static AnswerSet readAnswers(List<Path> paths, LogReader reader)
      throws SettingsException {
    requirePaths(paths);
    return AnswersReader.read(paths, reader.configurationState().sections());
  }

  private static void requirePaths(List<Path> paths) throws SettingsException {
    if (paths.isEmpty()) {
      throw usageError("name files or folders of answers");
    }
  }

  private static LogReader readLog(LogService log, OptionSet options) throws PlatformException {
    LogReader reader = LogReader.create(log, PlatformLog.cell(options));
    reader.readToEnd();
    return reader;
  }

  private static Revision acceptedRevision(LogReader.Change change) {
    return ((ChangeOutcome.Accepted) change.outcome()).revision();
  }

  private static String describe(PublishOutcome outcome) {
    return switch (outcome) {
      case PublishOutcome.Published published ->
          "section " + published.section() + " is in force as revision " + published.revision();
      case PublishOutcome.Refused refused ->
          "section "
              + refused.section()
              + " was refused: "
              + refused.code().label()
              + " "
              + refused.reason();
    };
  }

  private static String describe(LogReader.Change change) {
    String outcome =
        switch (change.outcome()) {
          case ChangeOutcome.Accepted accepted -> "revision " + accepted.revision();
          case ChangeOutcome.Rejected rejected ->
              "rejected " + rejected.code().label() + " (" + rejected.reason() + ")";
          case ChangeOutcome.CoveredBySnapshot covered -> "covered by a snapshot";
        };
    return "offset "
        + change.offset()
        + ": section "
        + change.change().section().name()
        + ", "
        + outcome
        + ", by "
        + change.change().author()
        + ": "
        + change.change().reason();
  }

  private static String requiredText(OptionSet options, String name) throws SettingsException {
    if (!options.has(name)) {
      throw usageError("--" + name + " is required");
    }
    return String.valueOf(options.valueOf(name));
  }

  private static long requiredNumber(OptionSet options, String name) throws SettingsException {
    requiredText(options, name);
    return (Long) options.valueOf(name);
  }

  private static SettingsException unknownRevision(String section, long revision) {
    return new SettingsException(
        ResultCode.REVISION_UNKNOWN,
        "section " + section,
        "the log contains no change of this section up to revision "
            + revision
            + "; see answers history");
  }

  private static SettingsException usageError(String message) {
    return new SettingsException(ResultCode.USAGE, "answers", message);
  }
}
