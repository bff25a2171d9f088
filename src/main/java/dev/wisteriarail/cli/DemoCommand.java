package dev.wisteriarail.cli;

import dev.wisteriarail.core.result.WisteriarailException;
import dev.wisteriarail.demo.Demo;
import dev.wisteriarail.demo.GatewayDemo;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Runs the demo fleet, or the gateway demo, and checks the outcomes. */
final class DemoCommand implements Command {

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "runs several nodes and stand-ins in one process and checks the outcomes";
  }

  @Override
  public String example() {
    return "wisteriarail demo --once";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("once", "run the scenarios once and exit");
    parser.accepts(
        "gateway", "run gateway nodes against a stand-in of the users' platform instead");
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out)
      throws WisteriarailException, InterruptedException {
    boolean passed = options.has("gateway") ? GatewayDemo.run(out) : Demo.run(out);
    return passed ? ExitCode.SUCCESS : ExitCode.FAILED;
  }
}
