package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.PlatformException;
import dev.wisteriarail.core.result.ResultCode;
import dev.wisteriarail.core.result.WisteriarailException;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Entry point of the wisteriarail binary: dispatches to a subcommand and reports its failures. */
public final class Main {

  private static final String PROGRAM = "wisteriarail";
  private static final List<Command> COMMANDS =
      List.of(
          new AnswersCommand(),
          new AuditCommand(),
          new CapacityCommand(),
          new CompareCommand(),
          new DemoCommand(),
          new ExplainCommand(),
          new FuzzCommand(),
          new LoadCommand(),
          new ReplayCommand(),
          new ServeCommand(),
          new SoakCommand(),
          new StandinCommand(),
          new StatusCommand(),
          new TraceCommand());

  private Main() {}

  /** Runs the subcommand named by the first argument and exits with its status. */
  public static void main(String[] args) throws InterruptedException {
    ExitCode code = run(args, System.out, System.err);
    System.out.flush();
    System.exit(code.status());
  }

  /** Runs the subcommand named by the first argument and returns its exit code. */
  static ExitCode run(String[] args, PrintStream out, PrintStream err) throws InterruptedException {
    if (args.length == 0 || args[0].equals("--help")) {
      printUsage(args.length == 0 ? err : out);
      return args.length == 0 ? ExitCode.USAGE : ExitCode.SUCCESS;
    }
    if (args[0].equals("--version")) {
      out.println(PROGRAM + " " + version());
      return ExitCode.SUCCESS;
    }
    for (Command command : COMMANDS) {
      if (command.name().equals(args[0])) {
        return runCommand(command, Arrays.copyOfRange(args, 1, args.length), out, err);
      }
    }
    err.println(usageError("no subcommand " + args[0] + "; see " + PROGRAM + " --help"));
    return ExitCode.USAGE;
  }

  private static ExitCode runCommand(
      Command command, String[] args, PrintStream out, PrintStream err)
      throws InterruptedException {
    OptionParser parser = new OptionParser();
    OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
    command.declareOptions(parser);
    try {
      OptionSet options = parser.parse(args);
      if (options.has(help)) {
        printHelp(command, parser, out);
        return ExitCode.SUCCESS;
      }
      return command.run(options, out);
    } catch (OptionException invalid) {
      err.println(
          usageError(invalid.getMessage() + "; see " + PROGRAM + " " + command.name() + " --help"));
      return ExitCode.USAGE;
    } catch (PlatformException failure) {
      err.println("error: " + failure.describe());
      return ExitCode.UNAVAILABLE;
    } catch (WisteriarailException failure) {
      err.println("error: " + failure.describe());
      return failure.code() == ResultCode.USAGE ? ExitCode.USAGE : ExitCode.INVALID_INPUT;
    }
  }

  // Helpers

  private static String usageError(String message) {
    return "error: " + ResultCode.USAGE.label() + " " + message;
  }

  private static void printUsage(PrintStream out) {
    out.println("usage: " + PROGRAM + " <subcommand> [options]");
    for (Command command : COMMANDS) {
      out.printf("  %-10s %s%n", command.name(), command.summary());
    }
    out.println("  --version  print the version");
    out.println("Each subcommand accepts --help.");
  }

  private static void printHelp(Command command, OptionParser parser, PrintStream out) {
    out.println(command.summary());
    out.println("example: " + command.example());
    try {
      parser.printHelpOn(out);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "development" : version;
  }
}
