package dev.wisteriarail.cli;

import dev.wisteriarail.audit.AuditEntry;
import dev.wisteriarail.audit.AuditTrail;
import dev.wisteriarail.core.result.WisteriarailException;
import java.io.PrintStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Prints the audit trail that is derived from the platform's log. */
final class AuditCommand implements Command {

  @Override
  public String name() {
    return "audit";
  }

  @Override
  public String summary() {
    return "prints every change, decision and takeover recorded in the log";
  }

  @Override
  public String example() {
    return "wisteriarail audit --log http://127.0.0.1:9000 --about m001";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    PlatformLog.declareOptions(parser);
    parser.accepts("about", "print only records that mention this name").withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, PrintStream out) throws WisteriarailException {
    return PlatformLog.withLog(
        options,
        log -> {
          AuditTrail trail = AuditTrail.read(log, PlatformLog.cell(options));
          String about = (String) options.valueOf("about");
          trail.entries().stream()
              .filter(entry -> about == null || entry.mentions(about))
              .map(AuditEntry::describe)
              .forEach(out::println);
          return ExitCode.SUCCESS;
        });
  }
}
