package dev.wisteriarail.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.wisteriarail.audit.AuditTrail;
import dev.wisteriarail.audit.RequestTimeline;
import dev.wisteriarail.core.id.ModelId;
import dev.wisteriarail.core.id.RunnerId;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.SettingsException;
import dev.wisteriarail.core.result.WisteriarailException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Explains the state or outcome of a request, model, runner or decision. */
final class ExplainCommand implements Command {

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "request | model | runner | decision NAME: explains its state, with the figures";
  }

  @Override
  public String example() {
    return "wisteriarail explain --log http://127.0.0.1:9000 model m001";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    PlatformLog.declareOptions(parser);
    parser
        .accepts("events", "file with a node's event log; matching lines are printed")
        .withRequiredArg();
    parser
        .accepts(
            "logs",
            "files with structured logs of nodes, or - for standard input; explains a request")
        .withRequiredArg()
        .withValuesSeparatedBy(',');
    parser.nonOptions("request, model, runner or decision, then its name");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out) throws WisteriarailException {
    List<String> arguments = options.nonOptionArguments().stream().map(String::valueOf).toList();
    if (arguments.size() != 2) {
      throw usageError("specify request, model, runner or decision, followed by its name");
    }
    if (options.has("logs")) {
      return explainFromLogs(options.valuesOf("logs"), arguments.get(1), out);
    }
    return PlatformLog.withLog(
        options,
        log -> {
          AuditTrail trail = AuditTrail.read(log, PlatformLog.cell(options));
          explain(trail, arguments.get(0), arguments.get(1)).forEach(out::println);
          if (options.has("events")) {
            printEvents(Path.of((String) options.valueOf("events")), arguments.get(1), out);
          }
          return ExitCode.SUCCESS;
        });
  }

  private static ExitCode explainFromLogs(List<?> files, String request, PrintStream out)
      throws SettingsException {
    RequestTimeline story = RequestTimeline.create();
    for (Object file : files) {
      try (BufferedReader log = open(String.valueOf(file))) {
        story.read(log);
      } catch (IOException failure) {
        throw new SettingsException(
            ResultCode.FILE_UNREADABLE, String.valueOf(file), "cannot be read", failure);
      }
    }
    List<String> sentences = story.describe(request);
    sentences.forEach(out::println);
    if (sentences.isEmpty()) {
      out.println(
          "no log line mentions request " + request + "; see omitted lines in docs/OPERATIONS.md");
    }
    return sentences.isEmpty() ? ExitCode.FAILED : ExitCode.SUCCESS;
  }

  private static BufferedReader open(String file) throws IOException {
    return file.equals("-")
        ? new BufferedReader(new InputStreamReader(System.in, UTF_8))
        : Files.newBufferedReader(Path.of(file), UTF_8);
  }

  private static List<String> explain(AuditTrail trail, String subject, String name)
      throws SettingsException {
    return switch (subject) {
      case "request" -> trail.explainRequest(name);
      case "model" -> trail.explainModel(ModelId.of(name));
      case "runner" -> trail.explainRunner(RunnerId.of(name));
      case "decision" -> trail.explainDecision(name);
      default -> throw usageError("cannot explain a " + subject);
    };
  }

  private static void printEvents(Path file, String name, PrintStream out)
      throws SettingsException {
    try (Stream<String> lines = Files.lines(file)) {
      lines.filter(line -> line.contains(name)).forEach(out::println);
    } catch (IOException failure) {
      throw new SettingsException(
          ResultCode.FILE_UNREADABLE, file.toString(), "cannot be read", failure);
    }
  }

  private static SettingsException usageError(String message) {
    return new SettingsException(ResultCode.USAGE, "explain", message);
  }
}
