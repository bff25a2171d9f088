package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the binary. */
public interface Command {

  /** Returns the name that selects the subcommand on the command line. */
  String name();

  /** Returns a one-line description for the help text. */
  String summary();

  /** Returns an example command line. */
  String example();

  /** Declares the subcommand's options. */
  void declareOptions(OptionParser parser);

  /**
   * Runs the subcommand.
   *
   * @param options the parsed options
   * @param out stream for results
   * @throws WisteriarailException if the subcommand fails; carries the result code and the location
   */
  ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException;
}
