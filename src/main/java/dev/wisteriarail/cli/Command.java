package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** One subcommand of the binary. */
public interface Command {

  /** Returns the word that selects it. */
  String name();

  /** Returns one line on what it does. */
  String summary();

  /** Returns an example command line. */
  String example();

  /** Declares its options. */
  void declareOptions(OptionParser parser);

  /**
   * Runs it.
   *
   * @param options the parsed options
   * @param out where results go
   * @throws WisteriarailException with the code and location of a failure
   */
  ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException;
}
