package dev.wisteriarail.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import dev.wisteriarail.capacity.CapacityReport;
import dev.wisteriarail.codec.Codecs;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Measures the control overhead of a node and prints the slopes used in docs/CAPACITY.md. */
final class CapacityCommand implements Command {

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "measures the control overhead of a node and the slopes used in docs/CAPACITY.md";
  }

  @Override
  public String example() {
    return "wisteriarail capacity";
  }

  @Override
  public void declareOptions(OptionParser parser) {}

  @Override
  public ExitCode run(OptionSet options, PrintStream out) {
    try {
      out.println(
          Codecs.json()
              .writerWithDefaultPrettyPrinter()
              .writeValueAsString(CapacityReport.measure()));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return ExitCode.SUCCESS;
  }
}
